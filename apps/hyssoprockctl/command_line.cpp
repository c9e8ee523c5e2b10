#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <absl/flags/flag.h>

#include "commands.hpp"
#include "flags.hpp"

ABSL_FLAG(std::vector<std::string>, control, {}, "control hosts as name=IP:port,...");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, operator_name, "operator", "who asks");
ABSL_FLAG(std::uint32_t, timeout_ms, 10000, "time after which a request is given up");

namespace hyssoprock {

namespace {

constexpr std::array commands{
    Command{"declare-group", 1, 1, &declareGroup},   Command{"declare-kind", 2, 2, &declareKind},
    Command{"remove-kind", 2, 2, &removeKind},       Command{"plan-stop", 1, 1, &planStop},
    Command{"cancel-stop", 1, 1, &cancelStop},       Command{"add-control", 1, 1, &addControl},
    Command{"remove-control", 1, 1, &removeControl}, Command{"status", 0, 1, &status},
    Command{"follow", 1, 1, &followRevision},
};

} // namespace

int runCommandLine(const Console &console, const Arguments &words)
{
    if (words.empty()) {
        return usageError(console, "a command is needed");
    }
    const auto &name = words.front();
    const Arguments arguments{words.begin() + 1, words.end()};
    if (name == "pooled") {
        return runPooled(console, arguments);
    }
    if (absl::GetFlag(FLAGS_watch)) {
        return usageError(console, "--watch is for \"pooled status\" only");
    }
    std::vector<NamedAddress> hosts;
    for (const auto &text : absl::GetFlag(FLAGS_control)) {
        auto host = parseNamedAddress(text);
        if (host.has_error()) {
            return usageError(console, "--control: " + host.error().detail);
        }
        hosts.push_back(std::move(host.value()));
    }
    if (hosts.empty()) {
        return usageError(console, "--control is needed");
    }
    const auto *const command =
        std::find_if(commands.begin(), commands.end(),
                     [&](const Command &candidate) { return candidate.name == name; });
    if (command == commands.end()) {
        return usageError(console, "unknown command \"" + name + "\"");
    }
    if (arguments.size() < command->argumentCountMin
        || arguments.size() > command->argumentCountMax) {
        return usageError(console, "wrong number of arguments");
    }
    OperatorClient client{std::move(hosts), absl::GetFlag(FLAGS_operator_name),
                          std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)}};
    return command->run(console, client, arguments);
}

} // namespace hyssoprock
