#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>

#include "run_report.hpp"

/// @file
/// @brief Simulated time, clocks and network of the failover run.

namespace hyssoprock::random_runs::failover {

/// @brief A process: its place, its clock, and whether it runs.
struct Node
{
    std::string name;
    std::string dataCentre;
    bool alive = true;
    std::uint64_t incarnation = 1;
    std::int64_t clockOffsetUs = 0;
    std::int64_t clockRatePpm = 0; ///< Its clock runs faster by this.
    bool isolated = false;         ///< All its links are down.
};

/// @brief Event queue, clocks and network. Nodes are named by their index.
class World
{
public:
    explicit World(std::uint64_t seed)
        : random{seed}
    {}

    std::size_t addNode(std::string name, std::string dataCentre);

    /// @brief True time, which no process sees.
    [[nodiscard]] Duration time() const noexcept { return now_; }

    /// @brief The node's own clock.
    [[nodiscard]] Instant clock(std::size_t node) const noexcept;

    /// @brief Runs a function later.
    void after(Duration delay, std::function<void()> function);

    /// @brief Runs a function now and then at an interval, forever.
    void every(Duration interval, std::function<void()> function);

    /// @brief Sends a message: it may be lost, late or doubled, and a dead receiver ignores it.
    void send(std::size_t from, std::size_t to, const std::function<void()> &deliver);

    /// @brief Whether messages pass in this direction.
    [[nodiscard]] bool linked(std::size_t from, std::size_t to) const;

    /// @brief Whether messages pass in both directions and both processes run.
    [[nodiscard]] bool reachable(std::size_t from, std::size_t to) const;

    /// @brief Handles events up to a time.
    void runUntil(Duration end);

    RandomSource random;
    RunReport report;
    std::vector<Node> nodes;
    std::uint64_t dropPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::uint64_t latePercent = 0; ///< Messages that take up to three seconds.
    std::set<std::pair<std::size_t, std::size_t>> blocked; ///< Links that are down, one way.
    std::set<std::string> cutOff;                          ///< Data centres that are cut off.

private:
    struct Event
    {
        Duration at;
        std::uint64_t order;
        std::function<void()> function;
        [[nodiscard]] bool operator<(const Event &other) const noexcept
        {
            return std::pair{other.at, other.order} < std::pair{at, order};
        }
    };

    void deliverLater(std::size_t from, std::size_t to, const std::function<void()> &deliver);

    Duration now_{0};
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace hyssoprock::random_runs::failover
