#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/routing/view_table.hpp>

/// @file
/// @brief Which positions a majority is known to hold, and which answers wait for it.

namespace hyssoprock {

/// @brief An answer that waits for a majority.
struct PendingAck
{
    std::uint64_t session = 0; ///< Session whose machine gets AckResolved.
    std::uint64_t request = 0; ///< Request within the session.
    std::string group{};       ///< Group.
    std::string endpoint{};    ///< Endpoint that answered.
    LogPosition position{};    ///< Position that must be held.
    bool fromPrimary = false;  ///< Lease and view must allow the acknowledgement as well.
    Instant since{};           ///< When the wait began; the first poll follows an interval later.
    Instant deadline{};        ///< When the wait is over.
};

/// @brief Why a wait is over.
enum class AckOutcome : std::uint8_t {
    Held,     ///< A majority holds it, and for a primary's answer lease and view allow it.
    TermOver, ///< The view has a higher term.
    TimedOut, ///< Not established in time: unknown.
};

/// @brief A wait that is over.
struct ResolvedAck
{
    std::uint64_t session = 0;                 ///< Session.
    std::uint64_t request = 0;                 ///< Request.
    AckOutcome outcome = AckOutcome::TimedOut; ///< Why.
};

/// @brief Majority indexes and pending acknowledgements of a host.
class AckTracker
{
public:
    /// @brief Makes an empty tracker.
    /// @param pollInterval Shortest time between two polls of a group.
    explicit AckTracker(Duration pollInterval);

    /// @brief Learns a majority index, from any answer or poll. It stays true, because a majority
    /// that holds an entry takes part in each later election.
    /// @param group Group.
    /// @param term Term of the position that came with it.
    /// @param majorityIndex Index that a majority holds.
    void recordMajorityIndex(std::string_view group, std::uint64_t term,
                             std::uint64_t majorityIndex);

    /// @brief Whether a majority is known to hold a position.
    [[nodiscard]] bool isHeldByMajority(std::string_view group, const LogPosition &position) const;

    /// @brief Adds a wait; (session, request) must not have one.
    void add(PendingAck pending);

    /// @brief Ends a wait without a result, for example because the caller has gone.
    void remove(std::uint64_t session, std::uint64_t request);

    /// @brief Takes the waits that are over. Call after each recordMajorityIndex(), after each
    /// change of view or lease, and at nextDeadline(); pass each on as AckResolved to its session.
    [[nodiscard]] std::vector<ResolvedAck> takeResolved(const ViewTable &views, Instant now);

    /// @brief Groups whose primary must be asked for its status now, on a status connection,
    /// because a wait has had no news for the poll interval. Each call counts as a poll.
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief When takeResolved() or takePolls() is due next.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Number of waits for answers of a group's primary.
    [[nodiscard]] std::size_t primaryWaitCount(std::string_view group) const;

    /// @brief Number of waits.
    [[nodiscard]] std::size_t size() const noexcept { return pending_.size(); }

private:
    struct GroupState
    {
        std::map<std::uint64_t, std::uint64_t> majorityIndexes{}; ///< By term.
        std::size_t waits = 0;
        Instant nextPoll{};
    };

    using Key = std::pair<std::uint64_t, std::uint64_t>;

    [[nodiscard]] std::optional<AckOutcome> outcome(const PendingAck &pending,
                                                    const ViewTable &views, Instant now) const;
    std::map<Key, PendingAck>::iterator erase(std::map<Key, PendingAck>::iterator position);

    Duration pollInterval_;
    std::map<std::string, GroupState, std::less<>> groups_;
    std::map<Key, PendingAck> pending_;
};

} // namespace hyssoprock
