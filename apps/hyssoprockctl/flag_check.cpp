#include "flag_check.hpp"

#include <string_view>

#include <absl/flags/reflection.h>

namespace hyssoprock {

namespace {

/// Flags that Abseil defines itself.
bool isBuiltInFlag(std::string_view name)
{
    return name.starts_with("help") || name == "version";
}

} // namespace

std::optional<std::string> findFlagError(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string_view argument{argv[i]};
        if (argument == "--") {
            return std::nullopt;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            continue;
        }
        argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
        const auto equals = argument.find('=');
        const std::string name{argument.substr(0, equals)};
        absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr && name.starts_with("no")) {
            flag = absl::FindCommandLineFlag(name.substr(2));
        }
        if (flag == nullptr) {
            if (isBuiltInFlag(name)) {
                continue;
            }
            return "unknown flag --" + name;
        }
        std::string value{equals == std::string_view::npos ? "" : argument.substr(equals + 1)};
        if (equals == std::string_view::npos) {
            if (flag->IsOfType<bool>()) {
                continue;
            }
            if (++i == argc) {
                return "flag --" + name + " has no value";
            }
            value = argv[i];
        }
        if (std::string error; !flag->ParseFrom(value, &error)) {
            return std::string{"flag --"}.append(name).append(": ").append(error);
        }
    }
    return std::nullopt;
}

} // namespace hyssoprock
