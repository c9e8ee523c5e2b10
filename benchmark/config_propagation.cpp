// Compares ways to bring one configuration change from the control leader to all entry hosts:
// bytes, worst delay, and how many hosts are reached although some are down.
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

constexpr std::size_t dataCentres = 6;
constexpr std::size_t dataCentresPerRegion = 3;
constexpr double localDelayMs = 0.5;
constexpr double dataCentreDelayMs = 5.0;
constexpr double regionDelayMs = 12.0;
constexpr double jitterShare = 0.3;
constexpr double sendCostMs = 0.01;        // Time to encode and send one message.
constexpr double retransmitMs = 200.0;     // Wait before a lost message is sent again.
constexpr std::uint64_t lossPerMille = 10; // Between data centres.
constexpr double renewIntervalMs =
    400.0; // A host without the change gets it with its next renewal.
constexpr double gossipRoundMs = 100.0;
constexpr std::size_t frameHeaderBytes = 16;
constexpr std::size_t digestBytes = 24; // Revision and checksum in a gossip message.
constexpr int trials = 200;

using Tree = std::vector<std::vector<std::size_t>>; // Children of each node; node 0 is the leader.

struct Outcome
{
    double worstMs = 0;
    double busiestSenderBytes = 0;
    double totalBytes = 0;
    double crossRegionBytes = 0;
    std::size_t needRepair = 0;
};

std::size_t dataCentreOf(std::size_t node)
{
    return node % dataCentres;
}

std::size_t regionOf(std::size_t node)
{
    return dataCentreOf(node) / dataCentresPerRegion;
}

double meanDelay(std::size_t from, std::size_t to)
{
    if (dataCentreOf(from) == dataCentreOf(to)) {
        return localDelayMs;
    }
    return regionOf(from) == regionOf(to) ? dataCentreDelayMs : regionDelayMs;
}

double sampleDelay(std::size_t from, std::size_t to, RandomSource &random)
{
    auto delay = meanDelay(from, to);
    delay *= 1.0 + jitterShare * static_cast<double>(random.below(1000)) / 1000.0;
    while (dataCentreOf(from) != dataCentreOf(to) && random.below(1000) < lossPerMille) {
        delay += retransmitMs;
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

// One relay in each data centre, below it a tree of bounded degree within the data centre.
Tree boundedTree(std::size_t nodes, std::size_t degree)
{
    Tree tree(nodes);
    for (std::size_t centre = 0; centre < dataCentres; ++centre) {
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
// of a Proxy-based Overlay Skeleton Tree for Large-Scale Real-Time Group Communications": `inner`
// transit nodes in even numbers from each data centre, joined nearest first; the other nodes are
// leaves, farthest first, so that all inner nodes get the same degree.
Tree degreeBalancedTree(std::size_t nodes, std::size_t inner)
{
    Tree tree(nodes);
    const auto degree = (nodes - inner + 2 * inner - 2) / inner + 1;
    std::vector<std::size_t> degrees(inner, 0);
    std::vector<std::size_t> connected{0};
    std::vector<double> distance(nodes, 0);
    std::vector<bool> done(nodes, false);
    done[0] = true;
    const auto attach = [&](std::size_t parent, std::size_t child) {
        tree[parent].push_back(child);
        ++degrees[parent];
        distance[child] = distance[parent] + meanDelay(parent, child);
        done[child] = true;
    };
    const auto bestParent = [&](std::size_t child) {
        auto best = connected.front();
        auto bestDistance = std::numeric_limits<double>::max();
        for (const auto parent : connected) {
            const auto candidate = distance[parent] + meanDelay(parent, child);
            if (degrees[parent] < degree && candidate < bestDistance) {
                best = parent;
                bestDistance = candidate;
            }
        }
        return std::pair{best, bestDistance};
    };
    while (connected.size() < inner) {
        std::size_t next = 0;
        std::pair<std::size_t, double> nearest{0, std::numeric_limits<double>::max()};
        for (std::size_t node = 1; node < inner; ++node) {
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
    for (std::size_t node = inner; node < nodes; ++node) {
        leaves.emplace_back(-bestParent(node).second, node);
    }
    std::ranges::sort(leaves);
    for (const auto &[unused, node] : leaves) {
        attach(bestParent(node).first, node);
    }
    return tree;
}

void repair(std::vector<double> &arrival, const std::vector<bool> &down, Outcome &outcome,
            RandomSource &random)
{
    for (std::size_t node = 1; node < arrival.size(); ++node) {
        if (!down[node] && arrival[node] < 0) {
            ++outcome.needRepair;
            const auto wait = renewIntervalMs * static_cast<double>(random.below(1000)) / 1000.0;
            arrival[node] = wait + sampleDelay(node, 0, random) + sampleDelay(0, node, random);
        }
    }
    outcome.worstMs = *std::ranges::max_element(arrival);
}

Outcome spreadByTree(const Tree &tree, const std::vector<bool> &down, std::size_t bytes,
                     RandomSource &random)
{
    Outcome outcome;
    std::vector<double> arrival(tree.size(), -1);
    arrival[0] = 0;
    std::vector<std::size_t> order{0};
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto parent = order[i];
        auto sent = arrival[parent];
        double sentBytes = 0;
        for (const auto child : tree[parent]) {
            sent += sendCostMs;
            sentBytes += static_cast<double>(bytes);
            outcome.totalBytes += static_cast<double>(bytes);
            if (regionOf(parent) != regionOf(child)) {
                outcome.crossRegionBytes += static_cast<double>(bytes);
            }
            if (!down[child]) {
                arrival[child] = sent + sampleDelay(parent, child, random);
                order.push_back(child);
            }
        }
        outcome.busiestSenderBytes = std::max(outcome.busiestSenderBytes, sentBytes);
    }
    repair(arrival, down, outcome, random);
    return outcome;
}

// Push gossip: each informed host tells `fanout` random hosts in each round, eight rounds long.
Outcome spreadByGossip(std::size_t nodes, const std::vector<bool> &down, std::size_t bytes,
                       std::size_t fanout, RandomSource &random)
{
    constexpr int rounds = 8;
    Outcome outcome;
    std::vector<double> arrival(nodes, -1);
    std::vector<double> sentBytes(nodes, 0);
    arrival[0] = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto time = gossipRoundMs * round;
        for (std::size_t node = 0; node < nodes; ++node) {
            if (arrival[node] < 0 || arrival[node] > time) {
                continue;
            }
            for (std::size_t i = 0; i < fanout; ++i) {
                const auto target = random.below(nodes);
                const auto known = arrival[target] >= 0 && arrival[target] <= time;
                const auto cost = static_cast<double>(known ? digestBytes : bytes + digestBytes);
                sentBytes[node] += cost;
                outcome.totalBytes += cost;
                if (regionOf(node) != regionOf(target)) {
                    outcome.crossRegionBytes += cost;
                }
                const auto lost =
                    dataCentreOf(node) != dataCentreOf(target) && random.below(1000) < lossPerMille;
                if (!down[target] && !lost && !known) {
                    const auto reached = time + meanDelay(node, target);
                    arrival[target] =
                        arrival[target] < 0 ? reached : std::min(arrival[target], reached);
                }
            }
        }
    }
    outcome.busiestSenderBytes = *std::ranges::max_element(sentBytes);
    repair(arrival, down, outcome, random);
    return outcome;
}

enum class Loss { None, Scattered, Rack, DataCentre };

std::vector<bool> downHosts(std::size_t nodes, Loss loss, RandomSource &random)
{
    constexpr std::size_t dailyFailures = 26;
    constexpr std::size_t rackHosts = 20;
    std::vector<bool> down(nodes, false);
    if (loss == Loss::Scattered) {
        for (std::size_t i = 0; i < dailyFailures; ++i) {
            down[1 + random.below(nodes - 1)] = true;
        }
    } else if (loss != Loss::None) {
        const auto centre = random.below(dataCentres);
        std::size_t left = loss == Loss::Rack ? rackHosts : nodes;
        for (std::size_t node = 1; node < nodes && left > 0; ++node) {
            if (dataCentreOf(node) == centre) {
                down[node] = true;
                --left;
            }
        }
    }
    return down;
}

std::size_t changeBytes()
{
    ViewPush push;
    Configuration configuration;
    configuration.revision = 4300;
    const RecordKindRule rule{"orders", "pickup", 2000, true, {{1, {}, true}, {2, {}, true}}, 7};
    configuration.rules.push_back(rule);
    push.configuration = configuration;
    return encode(push).size() + frameHeaderBytes;
}

void printRow(const char *name, const char *loss, std::vector<Outcome> outcomes)
{
    std::ranges::sort(outcomes, {}, &Outcome::worstMs);
    double busiest = 0;
    double total = 0;
    double cross = 0;
    double repaired = 0;
    for (const auto &outcome : outcomes) {
        busiest += outcome.busiestSenderBytes;
        total += outcome.totalBytes;
        cross += outcome.crossRegionBytes;
        repaired += static_cast<double>(outcome.needRepair);
    }
    const auto count = static_cast<double>(outcomes.size());
    std::printf("| %s | %s | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f |\n", name, loss,
                outcomes[outcomes.size() / 2].worstMs, outcomes[outcomes.size() * 99 / 100].worstMs,
                busiest / count / 1000, total / count / 1000, cross / count / 1000,
                repaired / count);
}

void compare(std::size_t nodes, std::uint64_t seed)
{
    constexpr std::size_t degree = 8;
    constexpr std::size_t innerNodes = 40;
    constexpr std::size_t fanout = 3;
    const auto bytes = changeBytes();
    const auto star = starTree(nodes);
    const auto bounded = boundedTree(nodes, degree);
    const auto balanced = degreeBalancedTree(nodes, innerNodes);
    struct Case
    {
        Loss loss;
        const char *name;
    };
    for (const auto &[loss, lossName] :
         {Case{Loss::None, "none"}, Case{Loss::Scattered, "26 hosts"}, Case{Loss::Rack, "a rack"},
          Case{Loss::DataCentre, "a data centre"}}) {
        RandomSource random{seed};
        std::vector<Outcome> starRuns;
        std::vector<Outcome> boundedRuns;
        std::vector<Outcome> balancedRuns;
        std::vector<Outcome> gossipRuns;
        for (int trial = 0; trial < trials; ++trial) {
            const auto down = downHosts(nodes, loss, random);
            starRuns.push_back(spreadByTree(star, down, bytes, random));
            boundedRuns.push_back(spreadByTree(bounded, down, bytes, random));
            balancedRuns.push_back(spreadByTree(balanced, down, bytes, random));
            gossipRuns.push_back(spreadByGossip(nodes, down, bytes, fanout, random));
        }
        printRow("star", lossName, std::move(starRuns));
        printRow("tree of degree 8", lossName, std::move(boundedRuns));
        printRow("degree-balanced tree", lossName, std::move(balancedRuns));
        printRow("gossip, fanout 3", lossName, std::move(gossipRuns));
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu, %d trials, change of %zu bytes\n\n",
                static_cast<unsigned long long>(seed), trials, changeBytes());
    for (const std::size_t nodes : {100U, 500U, 1900U}) {
        std::printf(
            "%zu hosts\n\n| way | hosts down | worst delay, median ms | worst delay, p99 ms "
            "| busiest sender KB | total KB | between regions KB | hosts repaired |\n"
            "|---|---|---|---|---|---|---|---|\n",
            nodes);
        compare(nodes + 1, seed); // One more for the leader.
        std::printf("\n");
    }
    return 0;
}
