#include <algorithm>
#include <chrono>
#include <ostream>
#include <thread>
#include <utility>

#include <absl/flags/flag.h>

#include <hyssoprock/pooler/status_client.hpp>
#include <hyssoprock/pooler/status_text.hpp>

#include "commands.hpp"
#include "flags.hpp"

ABSL_FLAG(bool, watch, false, "pooled status: print the status again and again");
ABSL_FLAG(std::uint32_t, interval_ms, 2000, "pooled status: time between two prints with --watch");
ABSL_FLAG(std::uint32_t, count, 0, "pooled status: end --watch after this many prints; 0: never");

namespace hyssoprock {

namespace {

// A control host waits up to 300 ms for the status of its endpoints before it responds.
constexpr std::uint32_t timeoutMsMin = 500;
// Control hosts cache the status of endpoints for one second.
constexpr std::uint32_t intervalMsMin = 1000;
constexpr Duration attemptTimeoutMax = std::chrono::seconds{2};

constexpr const char *clearScreen = "\x1b[H\x1b[2J";

int printStatus(const Console &console, const std::vector<SocketAddress> &hosts)
{
    const auto timeout = std::min<Duration>(
        std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)}, attemptTimeoutMax);
    const auto status = requestPooledStatus(hosts, absl::GetFlag(FLAGS_operator_name), timeout);
    if (status.has_error()) {
        return fail(console, status.error());
    }
    if (absl::GetFlag(FLAGS_json)) {
        console.out << toJson(status.value()) << "\n";
    } else {
        console.out << describe(status.value());
    }
    return 0;
}

int watchStatus(const Console &console, const std::vector<SocketAddress> &hosts)
{
    const auto interval = std::chrono::milliseconds{absl::GetFlag(FLAGS_interval_ms)};
    const auto count = absl::GetFlag(FLAGS_count);
    auto next = std::chrono::steady_clock::now();
    for (std::uint32_t printed = 1;; ++printed) {
        if (!absl::GetFlag(FLAGS_json)) {
            console.out << clearScreen;
        }
        // Only a failure of the first request ends the loop; later ones may be temporary.
        const auto result = printStatus(console, hosts);
        console.out.flush();
        if (printed == count || (result != 0 && printed == 1)) {
            return result;
        }
        next += interval;
        std::this_thread::sleep_until(next);
    }
}

int pooledStatus(const Console &console, const Arguments &arguments)
{
    if (arguments.empty()) {
        return usageError(console, "pooled status: the address of a control host is needed");
    }
    if (absl::GetFlag(FLAGS_timeout_ms) < timeoutMsMin) {
        return usageError(console, "--timeout_ms must be at least " + std::to_string(timeoutMsMin)
                                       + " for pooled status");
    }
    if (absl::GetFlag(FLAGS_interval_ms) < intervalMsMin) {
        return usageError(console,
                          "--interval_ms must be at least " + std::to_string(intervalMsMin));
    }
    if (absl::GetFlag(FLAGS_count) != 0 && !absl::GetFlag(FLAGS_watch)) {
        return usageError(console, "--count needs --watch");
    }
    std::vector<SocketAddress> hosts;
    for (const auto &text : arguments) {
        auto host = parseAddress(text);
        if (host.has_error()) {
            return usageError(console, "pooled status: " + host.error().detail);
        }
        if (host.value().port == 0) {
            return usageError(console, "pooled status: \"" + text + "\" has port 0");
        }
        hosts.push_back(std::move(host.value()));
    }
    return absl::GetFlag(FLAGS_watch) ? watchStatus(console, hosts) : printStatus(console, hosts);
}

} // namespace

int runPooled(const Console &console, const Arguments &arguments)
{
    if (arguments.empty()) {
        return usageError(console, "pooled: a command is needed, for example \"pooled status\"");
    }
    if (arguments.front() != "status") {
        return usageError(console, "unknown command \"pooled " + arguments.front() + "\"");
    }
    if (!absl::GetFlag(FLAGS_control).empty()) {
        return usageError(
            console, "--control is not for pooled commands; give ADDRESS... after the command");
    }
    return pooledStatus(console, {arguments.begin() + 1, arguments.end()});
}

} // namespace hyssoprock
