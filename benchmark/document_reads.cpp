// Processor time of a control host per version of a large document, from the operator's put to the
// use of its services, and how often each version is parsed. The group has one control host, which
// stores its files on disk; time spent waiting for the disk does not count.
//
// usage: benchmark_document_reads [routes] [versions]

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

#include <hyssoprock/pooler/control_process.hpp>
#include <platform/codec_factory.hpp>
#include <platform/status_row.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;
using namespace std::chrono_literals;

/// Counts how often a document is parsed.
class CountingCodecFactory final : public CodecFactory
{
public:
    [[nodiscard]] std::unique_ptr<CallerCodec> makeCallerCodec() const override
    {
        return codecs_.makeCallerCodec();
    }
    [[nodiscard]] std::unique_ptr<EndpointCodec> makeEndpointCodec() const override
    {
        return codecs_.makeEndpointCodec();
    }
    [[nodiscard]] Result<DeploymentDocument> parseDocument(std::string_view bytes) const override
    {
        ++parseCount;
        return codecs_.parseDocument(bytes);
    }

    mutable std::uint64_t parseCount = 0;

private:
    platform::PlatformCodecFactory codecs_;
};

class NullPromotionClient final : public PromotionClient
{
public:
    void call(const std::string & /*service*/, const std::string & /*endpoint*/,
              std::uint64_t /*token*/, std::function<void(PromotionOutcome)> /*done*/) override
    {}
};

std::string makeDocument(std::uint64_t version, std::uint64_t routes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::uint64_t route = 0; route < routes; ++route) {
        const auto name = std::to_string(route);
        text += route == 0 ? "" : ",";
        text.append(R"({"name":"route-)").append(name).append(R"(","host":"tenant)").append(name);
        text.append(R"(","pathPrefix":"/","kind":"read_own_writes","timeoutMs":)");
        text.append(std::to_string(route == version % routes ? 1000 + version : 1000));
        text.append(R"(,"targetLatencyMs":800,"priority":2,"service":"orders","maxAttempts":2,)");
        text.append(R"("maxStalenessMs":2500})");
    }
    return text
           + R"(],"services":[{"name":"orders","healthPath":"/health","maxConns":34,)"
             R"("protocol":"h1","tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,)"
             R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,)"
             R"("txIdleMs":3000}})";
}

void runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    while (!condition()) {
        context.run_one_for(10ms);
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const auto routes = argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 2000;
    const auto versions = argumentCount > 2 ? std::strtoull(arguments[2], nullptr, 10) : 50;
    const auto folder = std::filesystem::temp_directory_path()
                        / ("hyssoprock-document-reads-" + std::to_string(::getpid()));
    boost::asio::io_context context;
    CountingCodecFactory codecs;
    NullPromotionClient promotionClient;
    ControlNodeSettings settings;
    settings.name = "127.0.0.1";
    settings.internal = {"127.0.0.1", 0};
    settings.seeds = {"127.0.0.1"};
    settings.bootstrap = true;
    settings.failuresTolerated = 0;
    settings.dataFolder = folder.string();
    std::uint64_t failures = 0;
    {
        ControlProcess process{
            context,         settings, ControlTiming{500ms, 2s}, codecs, platform::parseStatusRow,
            promotionClient, 1};
        failures += process.start().has_error() ? 1 : 0;
        EndpointRecord record;
        record.service = "orders";
        record.id = "i-1";
        record.address = "127.0.0.1:1";
        record.bornMs = 1;
        std::vector<std::string> documents;
        for (std::uint64_t version = 1; version <= versions + 1; ++version) {
            documents.push_back(makeDocument(version, routes));
        }
        const auto run = [&](std::uint64_t version) {
            const auto &document = documents[version - 1];
            std::optional<bool> done;
            process.putDocument(document,
                                [&](const Result<void> &result) { done = result.has_value(); });
            runUntil(context, [&]() { return done.has_value(); });
            failures += *done ? 0 : 1;
            record.sequence = version;
            process.heartbeat(record, [&](const Result<void> &result) {
                failures += result.has_error() ? 1 : 0;
            });
            // The leader checks for a new document ten times a second.
            context.run_for(150ms);
        };
        run(1);
        failures = 0; // The first put may precede the election.
        codecs.parseCount = 0;
        const auto start = processorSeconds();
        for (std::uint64_t version = 2; version <= versions + 1; ++version) {
            run(version);
        }
        const auto seconds = processorSeconds() - start;
        std::printf("%llu routes, %zu bytes: %.2f reads and %.2f ms of processor time for each of "
                    "%llu versions, %llu failures\n",
                    static_cast<unsigned long long>(routes), documents[0].size(),
                    static_cast<double>(codecs.parseCount) / static_cast<double>(versions),
                    1000 * seconds / static_cast<double>(versions),
                    static_cast<unsigned long long>(versions),
                    static_cast<unsigned long long>(failures));
    }
    std::filesystem::remove_all(folder);
    return failures == 0 ? 0 : 1;
}
