#pragma once

#include <cstddef>

/// @file
/// @brief Breadth-first exploration of the histories of a control group of three hosts.

namespace hyssoprock::control_model {

/// @brief How often each kind of step may occur in one history.
struct Budget
{
    std::size_t timeouts = 3;   ///< Ticks of hosts that do not lead.
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
    Replaced, ///< Then c1 has appended a configuration that no other host has received, and c3 has
              ///< elected c2 without c1 knowing yet.
    LostVote, ///< Then c2 has committed an entry with c3, and c3 has lost its disk and its vote.
};

/// @brief Where an exploration starts and ends.
struct Limits
{
    std::size_t depth = 6;         ///< Most steps of a history.
    std::size_t states = 10000000; ///< Most states; bounds the memory.
    std::size_t start = 0;         ///< A Start.
    Budget budget;                 ///< Bounds of the single histories.
};

/// @brief Visits every state that the limits allow and prints how many there are at each depth.
/// @param limits The limits.
/// @return Whether all invariants hold; otherwise the shortest history that breaks one is printed.
[[nodiscard]] bool explore(const Limits &limits);

} // namespace hyssoprock::control_model
