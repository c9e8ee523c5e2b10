#include "flag_check.hpp"

#include <string_view>

#include <absl/flags/reflection.h>

namespace hyssoprock {

namespace {

/// Flags that Abseil adds by itself.
bool isHelp(std::string_view name)
{
    return name.starts_with("help") || name == "version";
}

} // namespace

std::optional<std::string> findFlagError(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string_view word{argv[i]};
        if (word == "--") {
            return std::nullopt;
        }
        if (word.size() < 2 || word.front() != '-') {
            continue;
        }
        word.remove_prefix(word.starts_with("--") ? 2 : 1);
        const auto equals = word.find('=');
        const std::string name{word.substr(0, equals)};
        absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr && name.starts_with("no")) {
            flag = absl::FindCommandLineFlag(name.substr(2));
        }
        if (flag == nullptr) {
            if (isHelp(name)) {
                continue;
            }
            return "unknown flag --" + name;
        }
        std::string value{equals == std::string_view::npos ? "" : word.substr(equals + 1)};
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
