#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/limits/admission_queue.hpp>

/// @file
/// @brief Queue of the statements of one service that wait for a connection.

namespace hyssoprock {

/// @brief A statement that waits for a connection.
struct WaitingStatement
{
    std::uint64_t id = 0;            ///< Assigned by the owner of the queue; unique in it.
    std::string team;                ///< Team of its caller; empty for none.
    std::uint32_t routePriority = 0; ///< Priority of its route; 0 is the highest.
    std::uint32_t teamPriority = 0;  ///< Priority of its team; 0 is the highest.
    Instant deadline{};              ///< Latest time at which it may start.
    bool mayBeRefused = true;        ///< No part of it was sent to an endpoint.

    [[nodiscard]] bool operator==(const WaitingStatement &) const = default;
};

/// @brief Waiting statements, in the order in which they should be served.
///
/// Statements are ordered by the priority of their route and then by that of their team. Each lower
/// priority with waiting statements has one of `turnsPerLowerPriority` turns, so that it is never
/// starved. Within a priority, teams take turns, and the statements of a team are ordered by
/// deadline.
///
/// Unlike in AdmissionQueue, any waiting statement may be served next, because a connection may
/// suit only some of them. The owner walks the order and calls take() for those that it served.
class StatementQueue
{
public:
    /// @brief Statements that may wait for one service at one host.
    ///
    /// Twelve slots (three endpoints) serve at most 4,800 statements of 3 ms within the longest
    /// statement timeout of 1,200 ms, which is 178 for each of 27 hosts. The capacity is about
    /// three times that, for callers that are distributed unevenly over hosts. A longer queue
    /// would hold only statements that cannot start before their deadline.
    static constexpr std::size_t defaultCapacity = 512;
    /// @brief A lower priority has one turn out of this many while its statements wait.
    static constexpr std::uint32_t turnsPerLowerPriority = 8;

    /// @param capacity Number of statements that may wait; at least 1.
    explicit StatementQueue(std::size_t capacity = defaultCapacity) noexcept
        : capacity_{capacity}
    {}

    /// @brief Adds a statement, or refuses it.
    ///
    /// A statement that may not be refused is always added. So the queue can exceed its capacity by
    /// the number of these, which is bounded by the number of connections.
    /// @param now Current time.
    /// @return DeadlineExceeded if the estimated wait exceeds the deadline, QueueFull if the queue
    /// is full and no team has more statements in it, or the statement that was displaced.
    [[nodiscard]] OfferResult offer(const WaitingStatement &statement, Instant now);
    /// @brief Adds a statement regardless of the capacity; no effect if it is waiting.
    void push(const WaitingStatement &statement);
    /// @brief Removes a statement that is being served, and counts its turn.
    /// @param now Current time.
    /// @return Whether it was waiting.
    bool take(std::uint64_t id, Instant now);
    /// @brief Removes a statement that is not served, for example because its caller has
    /// disconnected.
    /// @return Whether it was waiting.
    bool remove(std::uint64_t id);

    /// @brief Ids in the order in which they should be served. It changes with each take().
    [[nodiscard]] std::vector<std::uint64_t> fairOrder() const;
    /// @brief Ids by priority of the route, then by arrival.
    [[nodiscard]] std::vector<std::uint64_t> priorityOrder() const;

    /// @brief Estimated wait of a statement that is added now; zero if the rate is unknown.
    [[nodiscard]] Duration estimatedWait(const WaitingStatement &statement) const;
    /// @brief Time after which a refused statement would be accepted, rounded up to milliseconds.
    /// @param now Current time.
    /// @return At least 1 ms; the time until the deadline if the rate is unknown.
    [[nodiscard]] Duration retryAfter(const WaitingStatement &statement, Instant now) const;

    [[nodiscard]] bool contains(std::uint64_t id) const { return index_.contains(id); }
    /// @brief Number of waiting statements of a team.
    [[nodiscard]] std::size_t waitingOf(const std::string &team) const;
    [[nodiscard]] std::size_t size() const noexcept { return index_.size(); }
    [[nodiscard]] bool empty() const noexcept { return index_.empty(); }

private:
    /// Deadline, number of arrival and id.
    using Key = std::tuple<Instant, std::uint64_t, std::uint64_t>;

    struct Entry
    {
        WaitingStatement statement;
        std::uint64_t arrival = 0;
    };
    struct TeamQueue
    {
        std::string team;
        std::set<Key> statements; // Never empty.
    };
    struct TeamLevel
    {
        std::uint32_t priority = 0;
        std::uint32_t missedTurns = 0; // Turns of other levels since its last one.
        std::vector<TeamQueue> round;  // The next team to serve is the first.
    };
    struct RouteLevel
    {
        std::uint32_t priority = 0;
        std::uint32_t missedTurns = 0;
        std::vector<TeamLevel> levels; // Sorted by priority.
    };

    void erase(std::uint64_t id, bool served);
    void recordTake(Instant now);
    [[nodiscard]] const Entry *newestOf(const std::string &team) const;
    [[nodiscard]] static std::size_t countOf(const TeamLevel &level);
    [[nodiscard]] static std::size_t aheadOnLevel(const TeamLevel &level,
                                                  const WaitingStatement &statement);
    [[nodiscard]] std::size_t aheadOf(const WaitingStatement &statement) const;

    std::size_t capacity_;
    std::uint64_t nextArrival_ = 1;
    std::map<std::uint64_t, Entry> index_;
    std::map<std::string, std::size_t, std::less<>> teamCounts_; // Only teams that wait.
    std::vector<RouteLevel> levels_;                             // Sorted by priority.
    // Rate at which statements are served, since the queue was last empty.
    std::optional<Instant> lastTakeAt_;
    std::int64_t intervalCount_ = 0;
    Duration meanInterval_{};
};

} // namespace hyssoprock
