// Time until a change of the document is in force at entry hosts on slow links: the former way, in
// which each control host sends the operator's whole text to each entry host, and the present one,
// in which an entry host asks one control host for a compressed difference.
//
// Sizes and processor times are measured here and scaled to the processor share of the hosts;
// transfers, delays and intervals are computed. The former way is computed without the parser of
// the operator's format at the entry host, which makes it look better than it was.
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

constexpr std::size_t entryHosts = 89;
constexpr std::size_t dataCentres = 6;
constexpr std::size_t controlHosts = 6; // One in each data centre.
constexpr double linkBitsPerSecond = 2e6;
constexpr double entryCores = 0.12;
constexpr double controlCores = 0.3;
constexpr double tickMs = 100;     // A control host looks for a new version.
constexpr double heartbeatMs = 50; // A follower learns of the commit.
constexpr double localDelayMs = 0.5;
constexpr double overheadShare = 1.05; // TCP and IP headers.
constexpr std::size_t textBytesPerRoute = 213;

DeploymentDocument documentOf(std::uint64_t version, std::size_t routes)
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

/// Mean processor time, in milliseconds of a whole core.
double millisecondsOf(const std::function<void()> &work)
{
    constexpr int repeats = 20;
    const auto start = processorSeconds();
    for (int i = 0; i < repeats; ++i) {
        work();
    }
    return (processorSeconds() - start) * 1000 / repeats;
}

double transferMs(double bytes)
{
    return bytes * overheadShare * 8 / linkBitsPerSecond * 1000;
}

struct Times
{
    double median = 0;
    double worst = 0;
};

Times timesOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values.back()};
}

double uniform(RandomSource &random, double most)
{
    return most * static_cast<double>(random.below(10000)) / 10000;
}

/// All control hosts send the text; an entry host uses the first copy that is complete, while the
/// others share its link.
Times formerWay(double textBytes, double encodeMs, RandomSource &random)
{
    std::vector<double> begins;
    for (std::size_t i = 0; i < controlHosts; ++i) {
        const auto learned = i == 0 ? 0.0 : uniform(random, heartbeatMs);
        begins.push_back(learned + uniform(random, tickMs));
    }
    std::vector<double> inForce;
    for (std::size_t host = 0; host < entryHosts; ++host) {
        std::vector<double> starts;
        for (const auto begin : begins) {
            // Each control host encodes for one entry host after the other.
            const auto place = static_cast<double>(random.below(entryHosts) + 1);
            starts.push_back(begin + place * encodeMs / controlCores + localDelayMs);
        }
        std::sort(starts.begin(), starts.end());
        auto remaining = transferMs(textBytes); // Of the first copy.
        auto now = starts.front();
        for (std::size_t sharing = 1; remaining > 0; ++sharing) {
            const auto next = sharing < starts.size() ? starts[sharing] : 1e12;
            const auto done = std::min(remaining, (next - now) / static_cast<double>(sharing));
            remaining -= done;
            now += done * static_cast<double>(sharing);
        }
        inForce.push_back(now);
    }
    return timesOf(inForce);
}

/// The control host of the data centre announces the version and answers a request.
Times presentWay(double answerBytes, double prepareMs, double applyMs, RandomSource &random)
{
    std::vector<double> announced;
    for (std::size_t centre = 0; centre < dataCentres; ++centre) {
        const auto learned = centre == 0 ? 0.0 : uniform(random, heartbeatMs);
        announced.push_back(learned + uniform(random, tickMs));
    }
    std::vector<double> inForce;
    for (std::size_t host = 0; host < entryHosts; ++host) {
        // Read once when it is announced, encoded once for the first request.
        const auto ready = announced[host % dataCentres] + prepareMs / controlCores;
        inForce.push_back(ready + 3 * localDelayMs + transferMs(answerBytes)
                          + applyMs / entryCores);
    }
    return timesOf(inForce);
}

void report(const char *name, const DeploymentDocument *base, const DeploymentDocument &next,
            RandomSource &random)
{
    DeploymentUpdate former;
    former.controlHosts = {std::string(next.routes.size() * textBytesPerRoute, 'x')};
    const auto encodeMs = millisecondsOf([&]() { (void)encode(former); });
    const auto textBytes = static_cast<double>(former.controlHosts[0].size());
    const auto answer = compressDelta(computeDelta(base, next));
    const auto prepareMs =
        millisecondsOf([&]() { (void)encode(compressDelta(computeDelta(base, next))); });
    const auto applyMs = millisecondsOf([&]() {
        if (applyDelta(base, decompressDelta(answer).value()).has_error()) {
            std::abort();
        }
    });
    const auto before = formerWay(textBytes, encodeMs, random);
    const auto answerBytes = static_cast<double>(encode(answer).size());
    const auto after = presentWay(answerBytes, prepareMs, applyMs, random);
    std::printf("%-28s %9.0f %9.0f %9.0f | %9.0f %8.1f %8.1f %9.0f %9.0f\n", name,
                textBytes * controlHosts, before.median, before.worst, answerBytes, prepareMs,
                applyMs, after.median, after.worst);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    RandomSource random{argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1};
    std::printf("%zu entry hosts with %.0f bit/s, %zu control hosts; times in ms after the "
                "acknowledgement\n",
                entryHosts, linkBitsPerSecond, controlHosts);
    std::printf("%-28s %9s %9s %9s | %9s %8s %8s %9s %9s\n", "change", "bytes", "median", "worst",
                "bytes", "prepare", "apply", "median", "worst");
    const auto small = documentOf(1, 20);
    const auto grown = documentOf(2, 1900);
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
