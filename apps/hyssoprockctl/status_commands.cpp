#include <chrono>
#include <ostream>
#include <thread>

#include <absl/flags/flag.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/daemon/operator/status_report.hpp>

#include "commands.hpp"
#include "flags.hpp"

namespace hyssoprock {

int follow(const Console &console, OperatorClient &client, std::uint64_t revision)
{
    using namespace std::chrono_literals;
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
    while (true) {
        const auto status = client.status("");
        if (status.has_error()) {
            return fail(console, status.error());
        }
        const auto progress = revisionProgress(status.value(), revision);
        const bool done =
            progress.everywhere() && status.value().configuration.revision >= revision;
        const bool expired = std::chrono::steady_clock::now() >= deadline;
        if (done || expired) {
            if (absl::GetFlag(FLAGS_json)) {
                console.out << toJson(progress) << "\n";
            } else if (done) {
                console.out << "revision " << revision << " is in force at all " << progress.inForce
                            << " hosts\n";
            } else {
                for (const auto &host : progress.behind) {
                    console.out << "behind: " << host << "\n";
                }
            }
            return done ? 0 : describe(ErrorKind::Unreachable).exitStatus;
        }
        std::this_thread::sleep_for(20ms);
    }
}

int status(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    const auto response = client.status(arguments.empty() ? "" : arguments[0]);
    if (response.has_error()) {
        return fail(console, response.error());
    }
    console.out << (absl::GetFlag(FLAGS_json) ? toJson(response.value()) + "\n"
                                              : describe(response.value()));
    return 0;
}

int followRevision(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    const auto revision = parseNumber(arguments[0]);
    return revision ? follow(console, client, *revision)
                    : usageError(console, "the revision must be a number");
}

} // namespace hyssoprock
