// Time that a control host needs to restore its state after many changes of a large document, and
// the disk usage that they lead to.
//
// usage: benchmark_restart_time [raft.snapshot_bytes] [changes ...]

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

#include <hyssoprock/pooler/control_node.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t documentBytes = 400'000;
constexpr double bytesPerMebibyte = 1024.0 * 1024.0;

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double diskBytes(const std::filesystem::path &folder)
{
    double total = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator{folder}) {
        total += entry.is_regular_file() ? static_cast<double>(entry.file_size()) : 0.0;
    }
    return total;
}

Result<DeploymentDocument> parseDocument(std::string_view bytes)
{
    DeploymentDocument document;
    document.version = std::strtoull(std::string{bytes.substr(0, 20)}.c_str(), nullptr, 10);
    return document;
}

ControlNodeSettings makeSettings(const std::filesystem::path &folder, bool bootstrap,
                                 std::uint64_t snapshotBytes)
{
    ControlNodeSettings settings;
    settings.name = "127.0.0.1";
    settings.hostName = "control";
    settings.internal = {"127.0.0.1", 0};
    settings.seeds = {"127.0.0.1"};
    settings.bootstrap = bootstrap;
    settings.failuresTolerated = 0;
    settings.dataFolder = folder.string();
    settings.raft.snapshotBytes = snapshotBytes;
    return settings;
}

void measure(std::uint64_t changes, std::uint64_t snapshotBytes)
{
    const auto folder = std::filesystem::temp_directory_path()
                        / ("hyssoprock-restart-" + std::to_string(::getpid()));
    const auto writeStart = Clock::now();
    double diskBytesMax = 0;
    {
        boost::asio::io_context context;
        PooledControlNode node{context, makeSettings(folder, true, snapshotBytes), parseDocument,
                               1};
        (void)node.start();
        while (!node.isLeader()) {
            context.run_for(10ms);
        }
        for (std::uint64_t version = 1; version <= changes; ++version) {
            auto document = std::to_string(version) + " ";
            document.resize(documentBytes, 'x');
            std::optional<bool> stored;
            node.putDocument(version, document,
                             [&](const Result<void> &result) { stored = result.has_value(); });
            while (!stored) {
                context.run_one_for(10ms);
            }
            if (version % 8 == 0 || version + 16 > changes) {
                diskBytesMax = std::max(diskBytesMax, diskBytes(folder));
            }
        }
    }
    const auto writeMs = millisecondsSince(writeStart);
    boost::asio::io_context context;
    const auto memory = residentBytes();
    PooledControlNode node{context, makeSettings(folder, false, snapshotBytes), parseDocument, 1};
    const auto start = Clock::now();
    (void)node.start();
    const auto restoreMs = millisecondsSince(start);
    while (node.state().version() != changes) {
        context.run_for(1ms);
    }
    std::printf("%8llu %12.1f %12.1f %14.1f %14.1f %12.1f\n",
                static_cast<unsigned long long>(changes), writeMs / 1000,
                diskBytesMax / bytesPerMebibyte, restoreMs, millisecondsSince(start),
                (residentBytes() - memory) / bytesPerMebibyte);
    std::fflush(stdout);
    std::filesystem::remove_all(folder);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::vector<std::uint64_t> changeCounts{100, 1000, 10000};
    auto snapshotBytes = RaftSettings{}.snapshotBytes;
    if (argumentCount > 1) {
        snapshotBytes = std::strtoull(arguments[1], nullptr, 10);
    }
    if (argumentCount > 2) {
        changeCounts.clear();
        for (int i = 2; i < argumentCount; ++i) {
            changeCounts.push_back(std::strtoull(arguments[i], nullptr, 10));
        }
    }
    std::printf("document of %zu bytes, snapshot after %llu bytes\n", documentBytes,
                static_cast<unsigned long long>(snapshotBytes));
    std::printf("%8s %12s %12s %14s %14s %12s\n", "changes", "written s", "disk MiB", "restored ms",
                "leading ms", "memory MiB");
    for (const auto changes : changeCounts) {
        measure(changes, snapshotBytes);
    }
    return 0;
}
