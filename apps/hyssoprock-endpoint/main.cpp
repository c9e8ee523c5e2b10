#include <csignal>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>
#include <utility>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <hyssoprock/endpoint/file_journal.hpp>
#include <hyssoprock/endpoint/server.hpp>

ABSL_FLAG(std::string, name, "", "unique name of the endpoint");
ABSL_FLAG(std::string, group, "", "database group");
ABSL_FLAG(std::string, data_centre, "", "data centre");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 for any free one");
ABSL_FLAG(std::vector<std::string>, announce, {}, "IP:port,... of entry hosts for announcements");
ABSL_FLAG(std::uint32_t, connections, 35, "connection limit, the reserved ones included");
ABSL_FLAG(std::uint32_t, reserved, 6, "connections kept for observers and control hosts");
ABSL_FLAG(std::uint32_t, slots, 5, "statements that run at the same time");
ABSL_FLAG(std::uint32_t, connect_delay_ms, 10, "time that a new connection takes");
ABSL_FLAG(std::uint32_t, service_us, 1000, "time in microseconds that a statement holds its slot");
ABSL_FLAG(std::uint32_t, lag_ms, 0, "replication lag from arrival to visibility");
ABSL_FLAG(std::uint64_t, incarnation, 1, "rises with each restart");
ABSL_FLAG(std::string, data_folder, "", "keeps log and fence across restarts; empty: starts empty");

namespace {

using namespace hyssoprock;

constexpr int exitUsage = 2;
constexpr int exitJournalError = 3;

endpoint::ServerSettings readFlags()
{
    endpoint::ServerSettings settings;
    settings.name = absl::GetFlag(FLAGS_name);
    settings.group = absl::GetFlag(FLAGS_group);
    settings.dataCentre = absl::GetFlag(FLAGS_data_centre);
    settings.listen = absl::GetFlag(FLAGS_listen);
    settings.announceTargets = absl::GetFlag(FLAGS_announce);
    settings.connectionCountMax = absl::GetFlag(FLAGS_connections);
    settings.reservedConnectionCount = absl::GetFlag(FLAGS_reserved);
    settings.slotCount = absl::GetFlag(FLAGS_slots);
    settings.connectDelay = std::chrono::milliseconds{absl::GetFlag(FLAGS_connect_delay_ms)};
    settings.serviceTime = std::chrono::microseconds{absl::GetFlag(FLAGS_service_us)};
    settings.replicationLag = std::chrono::milliseconds{absl::GetFlag(FLAGS_lag_ms)};
    settings.incarnation = absl::GetFlag(FLAGS_incarnation);
    settings.dataFolder = absl::GetFlag(FLAGS_data_folder);
    return settings;
}

int serve(const endpoint::ServerSettings &settings, endpoint::Journal &journal,
          endpoint::JournalContent content)
{
    boost::asio::io_context context;
    endpoint::Server server{context, settings, journal};
    server.instance().database.restore(content.fencedTerm, std::move(content.entries));
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const auto & /*error*/, int /*signal*/) { context.stop(); });
    server.start();
    std::printf("listening %s\n", server.address().c_str());
    std::fflush(stdout);
    context.run();
    return 0;
}

int run()
{
    const auto settings = readFlags();
    if (settings.name.empty() || settings.group.empty() || settings.slotCount == 0
        || settings.connectionCountMax <= settings.reservedConnectionCount) {
        std::fprintf(stderr, "--name, --group, --slots above 0 and --connections above --reserved "
                             "are required\n");
        return exitUsage;
    }
    if (settings.dataFolder.empty()) {
        endpoint::NullJournal journal;
        return serve(settings, journal, {});
    }
    auto journal = endpoint::FileJournal::open(settings.dataFolder);
    if (journal.has_error()) {
        std::fprintf(stderr, "[main] %s\n", journal.error().detail.c_str());
        return exitJournalError;
    }
    auto content = journal.value().takeContent();
    return serve(settings, journal.value(), std::move(content));
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("stand-in database instance of hyssoprock");
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
