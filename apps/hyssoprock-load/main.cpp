#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>

#include <hyssoprock/load/load_runner.hpp>

ABSL_FLAG(std::vector<std::string>, entries, {}, "IP:port,... of entry hosts");
ABSL_FLAG(std::vector<std::string>, groups, {}, "database groups");
ABSL_FLAG(std::uint32_t, rate, 100, "requests per second in all");
ABSL_FLAG(std::uint32_t, seconds, 10, "length of the run");
ABSL_FLAG(std::uint32_t, sessions, 50, "sessions, spread over the groups");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");
ABSL_FLAG(std::uint32_t, read_percent, 70, "share of reads");
ABSL_FLAG(std::uint32_t, max_age_ms, 2000, "age that most reads allow; 0 for none");
ABSL_FLAG(std::uint32_t, transaction_percent, 20, "share of writes that are transactions");
ABSL_FLAG(std::uint32_t, roam_percent, 2, "chance per request of changing the entry host");
ABSL_FLAG(std::uint32_t, probe_interval_ms, 50, "interval of each group's probe writes");
ABSL_FLAG(std::string, user, "", "user name of all sessions; empty for five names in turn");
ABSL_FLAG(std::string, json, "", "file for JSON lines");

namespace {

using namespace hyssoprock;

constexpr int exitCheckFailed = 1;
constexpr int exitUsage = 2;
constexpr std::uint32_t requestsPerSecondMax = 100000;
constexpr std::uint32_t sessionCountMax = 10000;

load::LoadSettings readFlags()
{
    load::LoadSettings settings;
    settings.entryAddresses = absl::GetFlag(FLAGS_entries);
    settings.groups = absl::GetFlag(FLAGS_groups);
    settings.requestsPerSecond = absl::GetFlag(FLAGS_rate);
    settings.durationSeconds = absl::GetFlag(FLAGS_seconds);
    settings.sessionCount = absl::GetFlag(FLAGS_sessions);
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.readPercent = absl::GetFlag(FLAGS_read_percent);
    settings.maxAgeMs = absl::GetFlag(FLAGS_max_age_ms);
    settings.transactionPercent = absl::GetFlag(FLAGS_transaction_percent);
    settings.hostSwitchPercent = absl::GetFlag(FLAGS_roam_percent);
    settings.probeIntervalMs = absl::GetFlag(FLAGS_probe_interval_ms);
    settings.user = absl::GetFlag(FLAGS_user);
    // A unique id keeps the rows of earlier runs apart from those of this run.
    settings.runId = std::to_string(std::chrono::system_clock::now().time_since_epoch().count())
                     + "-" + std::to_string(getpid());
    return settings;
}

bool isValid(const load::LoadSettings &settings)
{
    const auto isAddress = [](const std::string &entry) {
        return entry.find(':') != std::string::npos;
    };
    return !settings.entryAddresses.empty() && !settings.groups.empty()
           && std::all_of(settings.entryAddresses.begin(), settings.entryAddresses.end(), isAddress)
           && settings.requestsPerSecond >= 1 && settings.requestsPerSecond <= requestsPerSecondMax
           && settings.sessionCount >= settings.groups.size()
           && settings.sessionCount <= sessionCountMax && settings.readPercent <= 100
           && settings.probeIntervalMs >= 1;
}

int run()
{
    const auto settings = readFlags();
    if (!isValid(settings)) {
        std::fprintf(stderr, "--entries and --groups are required, --sessions at least one per "
                             "group, --rate 1 to 100000, --read_percent 0 to 100\n");
        return exitUsage;
    }
    boost::asio::io_context context;
    load::LoadRunner runner{context, settings};
    runner.start();
    context.run();
    load::writeTable(std::cout, settings, runner.report());
    if (const auto file = absl::GetFlag(FLAGS_json); !file.empty()) {
        std::ofstream out{file};
        load::writeJson(out, settings, runner.report());
        if (!out.flush()) {
            std::fprintf(stderr, "cannot write %s\n", file.c_str());
            return exitUsage;
        }
    }
    return runner.report().passed() ? 0 : exitCheckFailed;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("open-loop load generator of hyssoprock");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() > 1) {
        std::fprintf(stderr, "unexpected argument \"%s\"\n", arguments[1]);
        return exitUsage;
    }
    try {
        return run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "[main] %s\n", error.what());
        return exitUsage;
    }
}
