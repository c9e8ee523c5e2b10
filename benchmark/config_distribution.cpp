// Time until a change of the document is in force at entry hosts on slow links, for two protocols:
// each control host pushes the operator's whole text to each entry host (used in the past), or an
// entry host requests a compressed delta from one control host (used now).
//
// Sizes and processor times are measured and scaled to the processor share of the hosts; transfers,
// delays and intervals are computed. The cost of parsing the text at the entry host is left out,
// which favours the text push.
//
// usage: benchmark_config_distribution [seed]

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/pooling.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;

constexpr std::size_t entryHostCount = 89;
constexpr std::size_t dataCentreCount = 6;
constexpr std::size_t controlHostCount = 6; // One per data centre.
constexpr double linkBitsPerSecond = 2e6;
constexpr double entryHostCores = 0.12;
constexpr double controlHostCores = 0.3;
constexpr double documentPollIntervalMs = 100; // Control hosts check for a new version.
constexpr double heartbeatIntervalMs = 50;     // Followers receive the commit index.
constexpr double localDelayMs = 0.5;
constexpr double protocolOverheadRatio = 1.05; // TCP and IP headers.
constexpr std::size_t textBytesPerRoute = 213;

DeploymentDocument makeDocument(std::uint64_t version, std::size_t routes)
{
    DeploymentDocument document;
    document.version = version;
    for (std::size_t service = 0; service < 8; ++service) {
        document.services.push_back(Service{"service-" + std::to_string(service), 60, 0});
    }
    for (std::size_t number = 0; number < routes; ++number) {
        Route route;
        route.name = "route-" + std::to_string(number * 7919 % 100003);
        route.database = "tenant_" + std::to_string(number * 104729 % 1000003);
        route.pathPrefix = "/" + route.name;
        route.service = "service-" + std::to_string(number % 8);
        route.readConsistency = ReadConsistency::BoundedStaleness;
        route.statementTimeout = std::chrono::milliseconds{3000 + number % 7 * 250};
        route.staleness = std::chrono::milliseconds{500 + number % 5 * 100};
        route.targetLatency = std::chrono::milliseconds{250};
        document.routes.push_back(route);
    }
    return document;
}

/// Mean processor time of a call on a whole core.
double measureCpuMs(const std::function<void()> &work)
{
    constexpr int repeatCount = 20;
    const auto start = processorSeconds();
    for (int i = 0; i < repeatCount; ++i) {
        work();
    }
    return (processorSeconds() - start) * 1000 / repeatCount;
}

double transferMs(double bytes)
{
    return bytes * protocolOverheadRatio * 8 / linkBitsPerSecond * 1000;
}

struct Delays
{
    double medianMs = 0;
    double worstMs = 0;
};

Delays summarise(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values.back()};
}

double uniform(RandomSource &random, double max)
{
    return max * static_cast<double>(random.below(10000)) / 10000;
}

/// All control hosts send the text to all entry hosts at once. The copies share the link of an
/// entry host, which uses the first complete one.
Delays simulateTextPush(double textBytes, double encodeMs, RandomSource &random)
{
    std::vector<double> beginTimes;
    for (std::size_t i = 0; i < controlHostCount; ++i) {
        const auto committedAt = i == 0 ? 0.0 : uniform(random, heartbeatIntervalMs);
        beginTimes.push_back(committedAt + uniform(random, documentPollIntervalMs));
    }
    std::vector<double> inForce;
    for (std::size_t host = 0; host < entryHostCount; ++host) {
        std::vector<double> startTimes;
        for (const auto begin : beginTimes) {
            // A control host encodes the text for one entry host at a time.
            const auto queuePosition = static_cast<double>(random.below(entryHostCount) + 1);
            startTimes.push_back(begin + queuePosition * encodeMs / controlHostCores
                                 + localDelayMs);
        }
        std::sort(startTimes.begin(), startTimes.end());
        auto remaining = transferMs(textBytes); // For the first copy.
        auto now = startTimes.front();
        for (std::size_t sharing = 1; remaining > 0; ++sharing) {
            const auto next = sharing < startTimes.size() ? startTimes[sharing] : 1e12;
            const auto done = std::min(remaining, (next - now) / static_cast<double>(sharing));
            remaining -= done;
            now += done * static_cast<double>(sharing);
        }
        inForce.push_back(now);
    }
    return summarise(inForce);
}

/// The control host in the same data centre announces the version and responds to a request for it.
Delays simulateDeltaPull(double answerBytes, double prepareMs, double applyMs, RandomSource &random)
{
    std::vector<double> announcedAt;
    for (std::size_t centre = 0; centre < dataCentreCount; ++centre) {
        const auto committedAt = centre == 0 ? 0.0 : uniform(random, heartbeatIntervalMs);
        announcedAt.push_back(committedAt + uniform(random, documentPollIntervalMs));
    }
    std::vector<double> inForce;
    for (std::size_t host = 0; host < entryHostCount; ++host) {
        // The delta is computed and encoded once for all entry hosts.
        const auto ready = announcedAt[host % dataCentreCount] + prepareMs / controlHostCores;
        inForce.push_back(ready + 3 * localDelayMs + transferMs(answerBytes)
                          + applyMs / entryHostCores);
    }
    return summarise(inForce);
}

void report(const char *name, const DeploymentDocument *base, const DeploymentDocument &next,
            RandomSource &random)
{
    DeploymentUpdate textUpdate;
    textUpdate.controlHosts = {std::string(next.routes.size() * textBytesPerRoute, 'x')};
    const auto encodeMs = measureCpuMs([&]() { (void)encode(textUpdate); });
    const auto textBytes = static_cast<double>(textUpdate.controlHosts[0].size());
    const auto answer = compressDelta(computeDelta(base, next));
    const auto prepareMs =
        measureCpuMs([&]() { (void)encode(compressDelta(computeDelta(base, next))); });
    const auto applyMs = measureCpuMs([&]() {
        if (applyDelta(base, decompressDelta(answer).value()).has_error()) {
            std::abort();
        }
    });
    const auto textPush = simulateTextPush(textBytes, encodeMs, random);
    const auto answerBytes = static_cast<double>(encode(answer).size());
    const auto deltaPull = simulateDeltaPull(answerBytes, prepareMs, applyMs, random);
    std::printf("%-28s %9.0f %9.0f %9.0f | %9.0f %8.1f %8.1f %9.0f %9.0f\n", name,
                textBytes * controlHostCount, textPush.medianMs, textPush.worstMs, answerBytes,
                prepareMs, applyMs, deltaPull.medianMs, deltaPull.worstMs);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    RandomSource random{argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1};
    std::printf("%zu entry hosts with %.0f bit/s, %zu control hosts; times in ms after the "
                "acknowledgement\n",
                entryHostCount, linkBitsPerSecond, controlHostCount);
    std::printf("%-28s %9s %9s %9s | %9s %8s %8s %9s %9s\n", "change", "bytes", "median", "worst",
                "bytes", "prepare", "apply", "median", "worst");
    const auto small = makeDocument(1, 20);
    const auto grown = makeDocument(2, 1900);
    auto changed = grown;
    changed.version = 3;
    changed.routes[700].attempts = 2;
    auto rewritten = grown;
    rewritten.version = 3;
    for (auto &route : rewritten.routes) {
        route.statementTimeout += std::chrono::milliseconds{1};
    }
    report("1,880 routes added to 20", &small, grown, random);
    report("one of 1,900 routes changed", &grown, changed, random);
    report("all 1,900 routes changed", &grown, rewritten, random);
    report("whole document (start)", nullptr, grown, random);
    return 0;
}
