// Compares ways to distribute a configuration change from the control leader to all entry hosts
// while some of them are down: worst delay, bytes sent, and number of hosts that were not reached
// and got the change with their next lease renewal.
//
// usage: benchmark_config_propagation [seed]

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/control.hpp>

namespace {

using namespace hyssoprock;

constexpr std::size_t dataCentreCount = 6;
constexpr std::size_t dataCentresPerRegion = 3;
constexpr double localDelayMs = 0.5;
constexpr double dataCentreDelayMs = 5.0;
constexpr double regionDelayMs = 12.0;
constexpr double jitterRatio = 0.3;
constexpr double sendTimeMs = 0.01;         // Encoding and sending of one message.
constexpr double retransmitDelayMs = 200.0; // Delay before a lost message is sent again.
constexpr std::uint64_t lossPerMille = 10;  // Between data centres.
constexpr double renewIntervalMs =
    400.0; // A host that was not reached gets the change with its next renewal.
constexpr double gossipIntervalMs = 100.0;
constexpr std::size_t frameHeaderBytes = 16;
constexpr std::size_t digestBytes = 24; // Revision and checksum in a gossip message.
constexpr int trialCount = 200;

using Tree = std::vector<std::vector<std::size_t>>; // Children of each node; node 0 is the leader.

struct DistributionResult
{
    double worstMs = 0;
    double busiestSenderBytes = 0;
    double totalBytes = 0;
    double crossRegionBytes = 0;
    std::size_t renewedHostCount = 0;
};

std::size_t dataCentreOf(std::size_t node)
{
    return node % dataCentreCount;
}

std::size_t regionOf(std::size_t node)
{
    return dataCentreOf(node) / dataCentresPerRegion;
}

double meanDelayMs(std::size_t from, std::size_t to)
{
    if (dataCentreOf(from) == dataCentreOf(to)) {
        return localDelayMs;
    }
    return regionOf(from) == regionOf(to) ? dataCentreDelayMs : regionDelayMs;
}

double sampleDelayMs(std::size_t from, std::size_t to, RandomSource &random)
{
    auto delay = meanDelayMs(from, to);
    delay *= 1.0 + jitterRatio * static_cast<double>(random.below(1000)) / 1000.0;
    while (dataCentreOf(from) != dataCentreOf(to) && random.below(1000) < lossPerMille) {
        delay += retransmitDelayMs;
    }
    return delay;
}

Tree starTree(std::size_t nodes)
{
    Tree tree(nodes);
    for (std::size_t node = 1; node < nodes; ++node) {
        tree[0].push_back(node);
    }
    return tree;
}

// The leader sends to one relay in each data centre, the root of a tree of bounded degree within
// it.
Tree boundedTree(std::size_t nodes, std::size_t degree)
{
    Tree tree(nodes);
    for (std::size_t centre = 0; centre < dataCentreCount; ++centre) {
        std::vector<std::size_t> local;
        for (std::size_t node = 1; node < nodes; ++node) {
            if (dataCentreOf(node) == centre) {
                local.push_back(node);
            }
        }
        tree[0].push_back(local.front());
        for (std::size_t i = 1; i < local.size(); ++i) {
            tree[local[(i - 1) / degree]].push_back(local[i]);
        }
    }
    return tree;
}

// Degree-balanced skeleton tree with greedily minimised latency, after Guo and Jha, "Construction
// of a Proxy-based Overlay Skeleton Tree for Large-Scale Real-Time Group Communications":
// `innerCount` transit nodes, spread evenly over the data centres, are attached nearest first. The
// other nodes become leaves, attached farthest first, so that all transit nodes get the same
// degree.
Tree degreeBalancedTree(std::size_t nodes, std::size_t innerCount)
{
    Tree tree(nodes);
    const auto degree = (nodes - innerCount + 2 * innerCount - 2) / innerCount + 1;
    std::vector<std::size_t> degrees(innerCount, 0);
    std::vector<std::size_t> connected{0};
    std::vector<double> distance(nodes, 0);
    std::vector<bool> done(nodes, false);
    done[0] = true;
    const auto attach = [&](std::size_t parent, std::size_t child) {
        tree[parent].push_back(child);
        ++degrees[parent];
        distance[child] = distance[parent] + meanDelayMs(parent, child);
        done[child] = true;
    };
    const auto bestParent = [&](std::size_t child) {
        auto best = connected.front();
        auto bestDistance = std::numeric_limits<double>::max();
        for (const auto parent : connected) {
            const auto candidate = distance[parent] + meanDelayMs(parent, child);
            if (degrees[parent] < degree && candidate < bestDistance) {
                best = parent;
                bestDistance = candidate;
            }
        }
        return std::pair{best, bestDistance};
    };
    while (connected.size() < innerCount) {
        std::size_t next = 0;
        std::pair<std::size_t, double> nearest{0, std::numeric_limits<double>::max()};
        for (std::size_t node = 1; node < innerCount; ++node) {
            if (const auto found = done[node] ? nearest : bestParent(node);
                !done[node] && found.second < nearest.second) {
                nearest = found;
                next = node;
            }
        }
        attach(nearest.first, next);
        degrees[next] = 1;
        connected.push_back(next);
    }
    std::vector<std::pair<double, std::size_t>> leaves;
    for (std::size_t node = innerCount; node < nodes; ++node) {
        leaves.emplace_back(-bestParent(node).second, node);
    }
    std::ranges::sort(leaves);
    for (const auto &[unused, node] : leaves) {
        attach(bestParent(node).first, node);
    }
    return tree;
}

void deliverByRenewal(std::vector<double> &arrival, const std::vector<bool> &down,
                      DistributionResult &result, RandomSource &random)
{
    for (std::size_t node = 1; node < arrival.size(); ++node) {
        if (!down[node] && arrival[node] < 0) {
            ++result.renewedHostCount;
            const auto wait = renewIntervalMs * static_cast<double>(random.below(1000)) / 1000.0;
            arrival[node] = wait + sampleDelayMs(node, 0, random) + sampleDelayMs(0, node, random);
        }
    }
    result.worstMs = *std::ranges::max_element(arrival);
}

DistributionResult distributeByTree(const Tree &tree, const std::vector<bool> &down,
                                    std::size_t bytes, RandomSource &random)
{
    DistributionResult result;
    std::vector<double> arrival(tree.size(), -1);
    arrival[0] = 0;
    std::vector<std::size_t> order{0};
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto parent = order[i];
        auto sent = arrival[parent];
        double sentBytes = 0;
        for (const auto child : tree[parent]) {
            sent += sendTimeMs;
            sentBytes += static_cast<double>(bytes);
            result.totalBytes += static_cast<double>(bytes);
            if (regionOf(parent) != regionOf(child)) {
                result.crossRegionBytes += static_cast<double>(bytes);
            }
            if (!down[child]) {
                arrival[child] = sent + sampleDelayMs(parent, child, random);
                order.push_back(child);
            }
        }
        result.busiestSenderBytes = std::max(result.busiestSenderBytes, sentBytes);
    }
    deliverByRenewal(arrival, down, result, random);
    return result;
}

// Push gossip: in each of eight rounds, each host that has the change sends it to `fanout`
// random hosts.
DistributionResult distributeByGossip(std::size_t nodes, const std::vector<bool> &down,
                                      std::size_t bytes, std::size_t fanout, RandomSource &random)
{
    constexpr int roundCount = 8;
    DistributionResult result;
    std::vector<double> arrival(nodes, -1);
    std::vector<double> sentBytes(nodes, 0);
    arrival[0] = 0;
    for (int round = 0; round < roundCount; ++round) {
        const auto time = gossipIntervalMs * round;
        for (std::size_t node = 0; node < nodes; ++node) {
            if (arrival[node] < 0 || arrival[node] > time) {
                continue;
            }
            for (std::size_t i = 0; i < fanout; ++i) {
                const auto target = random.below(nodes);
                const auto informed = arrival[target] >= 0 && arrival[target] <= time;
                const auto cost = static_cast<double>(informed ? digestBytes : bytes + digestBytes);
                sentBytes[node] += cost;
                result.totalBytes += cost;
                if (regionOf(node) != regionOf(target)) {
                    result.crossRegionBytes += cost;
                }
                const auto lost =
                    dataCentreOf(node) != dataCentreOf(target) && random.below(1000) < lossPerMille;
                if (!down[target] && !lost && !informed) {
                    const auto reached = time + meanDelayMs(node, target);
                    arrival[target] =
                        arrival[target] < 0 ? reached : std::min(arrival[target], reached);
                }
            }
        }
    }
    result.busiestSenderBytes = *std::ranges::max_element(sentBytes);
    deliverByRenewal(arrival, down, result, random);
    return result;
}

enum class HostFailure { None, Scattered, Rack, DataCentre };

std::vector<bool> downHosts(std::size_t nodes, HostFailure failure, RandomSource &random)
{
    constexpr std::size_t failedHostCount = 26;
    constexpr std::size_t rackHostCount = 20;
    std::vector<bool> down(nodes, false);
    if (failure == HostFailure::Scattered) {
        for (std::size_t i = 0; i < failedHostCount; ++i) {
            down[1 + random.below(nodes - 1)] = true;
        }
    } else if (failure != HostFailure::None) {
        const auto centre = random.below(dataCentreCount);
        std::size_t remaining = failure == HostFailure::Rack ? rackHostCount : nodes;
        for (std::size_t node = 1; node < nodes && remaining > 0; ++node) {
            if (dataCentreOf(node) == centre) {
                down[node] = true;
                --remaining;
            }
        }
    }
    return down;
}

std::size_t encodedChangeBytes()
{
    ViewPush push;
    Configuration configuration;
    configuration.revision = 4300;
    const RecordKindRule rule{"orders", "pickup", 2000, true, {{1, {}, true}, {2, {}, true}}, 7};
    configuration.rules.push_back(rule);
    push.configuration = configuration;
    return encode(push).size() + frameHeaderBytes;
}

void printRow(const char *name, const char *failure, std::vector<DistributionResult> results)
{
    std::ranges::sort(results, {}, &DistributionResult::worstMs);
    double busiest = 0;
    double total = 0;
    double cross = 0;
    double repaired = 0;
    for (const auto &result : results) {
        busiest += result.busiestSenderBytes;
        total += result.totalBytes;
        cross += result.crossRegionBytes;
        repaired += static_cast<double>(result.renewedHostCount);
    }
    const auto count = static_cast<double>(results.size());
    std::printf("| %s | %s | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f |\n", name, failure,
                results[results.size() / 2].worstMs, results[results.size() * 99 / 100].worstMs,
                busiest / count / 1000, total / count / 1000, cross / count / 1000,
                repaired / count);
}

void compare(std::size_t nodes, std::uint64_t seed)
{
    constexpr std::size_t degree = 8;
    constexpr std::size_t innerNodeCount = 40;
    constexpr std::size_t fanout = 3;
    const auto bytes = encodedChangeBytes();
    const auto star = starTree(nodes);
    const auto bounded = boundedTree(nodes, degree);
    const auto balanced = degreeBalancedTree(nodes, innerNodeCount);
    struct Case
    {
        HostFailure failure;
        const char *name;
    };
    for (const auto &[failure, failureName] :
         {Case{HostFailure::None, "none"}, Case{HostFailure::Scattered, "26 hosts"},
          Case{HostFailure::Rack, "a rack"}, Case{HostFailure::DataCentre, "a data centre"}}) {
        RandomSource random{seed};
        std::vector<DistributionResult> starRuns;
        std::vector<DistributionResult> boundedRuns;
        std::vector<DistributionResult> balancedRuns;
        std::vector<DistributionResult> gossipRuns;
        for (int trial = 0; trial < trialCount; ++trial) {
            const auto down = downHosts(nodes, failure, random);
            starRuns.push_back(distributeByTree(star, down, bytes, random));
            boundedRuns.push_back(distributeByTree(bounded, down, bytes, random));
            balancedRuns.push_back(distributeByTree(balanced, down, bytes, random));
            gossipRuns.push_back(distributeByGossip(nodes, down, bytes, fanout, random));
        }
        printRow("star", failureName, std::move(starRuns));
        printRow("tree of degree 8", failureName, std::move(boundedRuns));
        printRow("degree-balanced tree", failureName, std::move(balancedRuns));
        printRow("gossip, fanout 3", failureName, std::move(gossipRuns));
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu, %d trials, change of %zu bytes\n\n",
                static_cast<unsigned long long>(seed), trialCount, encodedChangeBytes());
    for (const std::size_t nodes : {100U, 500U, 1900U}) {
        std::printf(
            "%zu hosts\n\n| way | hosts down | worst delay, median ms | worst delay, p99 ms "
            "| busiest sender KB | total KB | between regions KB | hosts repaired |\n"
            "|---|---|---|---|---|---|---|---|\n",
            nodes);
        compare(nodes + 1, seed); // The leader is one more node.
        std::printf("\n");
    }
    return 0;
}
