#pragma once

#include <cstddef>

/// @file
/// @brief Breadth-first exploration of the state space of a control group of three hosts.

namespace hyssoprock::control_model {

/// @brief Maximum number of steps of each kind in one history.
struct Budget
{
    std::size_t timeouts = 3;   ///< Ticks of followers and candidates.
    std::size_t heartbeats = 1; ///< Ticks of leaders.
    std::size_t puts = 1;       ///< Changes of the configuration.
    std::size_t orders = 1;     ///< Promotion orders.
    std::size_t lostDisks = 1;  ///< Restarts of one host with an empty data folder.
    std::size_t crashes = 1;    ///< Restarts of all hosts at once, or of one between two actions.

    [[nodiscard]] bool operator==(const Budget &) const = default;
};

/// @brief Where an exploration starts.
enum class Start : std::size_t {
    Formed,   ///< One leader, one acknowledged configuration and one acknowledged order.
    Replaced, ///< As Formed; then c1 has appended a configuration that no other host has received,
              ///< and c3 has elected c2, which c1 has not noticed yet.
    LostVote, ///< As Replaced; then c2 has committed an entry with c3, and c3 has lost its disk and
              ///< its vote.
    First,    ///< Three founders without state.
    TwoFounders, ///< Two of them have formed a group and acknowledged a configuration.
};

/// @brief Start and bounds of an exploration.
struct ExplorationLimits
{
    std::size_t depthMax = 6;             ///< Maximum number of steps in a history.
    std::size_t stateCountMax = 10000000; ///< Maximum number of visited states; bounds the memory.
    std::size_t start = 0;                ///< Value of Start.
    Budget budget;                        ///< Bounds of each history.
};

/// @brief Visits every state within the limits and prints the number of states at each depth.
/// @return Whether all invariants hold; otherwise the shortest violating history is printed.
[[nodiscard]] bool explore(const ExplorationLimits &limits);

} // namespace hyssoprock::control_model
