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
/// @brief Log positions held by a majority, and the answers that wait for a majority.

namespace hyssoprock {

/// @brief An answer that is withheld until a majority holds its log position.
struct PendingAck
{
    std::uint64_t session = 0; ///< Session whose machine receives AckResolved.
    std::uint64_t request = 0; ///< Request within the session.
    std::string group{};       ///< Group.
    std::string endpoint{};    ///< Endpoint that answered.
    LogPosition position{};    ///< Position that a majority must hold.
    bool fromPrimary = false;  ///< The lease and the view must also allow the acknowledgement.
    Instant waitingSince{};    ///< Start of the wait; the first poll is one interval later.
    Instant deadline{};        ///< Time at which the wait fails with TimedOut.
};

/// @brief Result of a wait.
enum class AckOutcome : std::uint8_t {
    Held,           ///< A majority holds the position; for a primary, lease and view allow it too.
    TermSuperseded, ///< The view has a higher term, so the position may be replaced.
    TimedOut,       ///< Not confirmed before the deadline; the outcome is unknown.
};

/// @brief A completed wait.
struct ResolvedAck
{
    std::uint64_t session = 0;                 ///< Session.
    std::uint64_t request = 0;                 ///< Request.
    AckOutcome outcome = AckOutcome::TimedOut; ///< Result.
};

/// @brief Tracks majority indexes and pending acknowledgements of a host.
class AckTracker
{
public:
    /// @param pollInterval Minimum time between two polls of a group.
    explicit AckTracker(Duration pollInterval);

    /// @brief Records a majority index from an answer or a poll. The index remains valid, because
    /// the voters of every later election overlap with a majority that holds the entry.
    /// @param group Group.
    /// @param term Term of the position reported with it.
    /// @param majorityIndex Highest index that a majority holds.
    void recordMajorityIndex(std::string_view group, std::uint64_t term,
                             std::uint64_t majorityIndex);

    /// @brief Whether a majority is known to hold a position.
    [[nodiscard]] bool isHeldByMajority(std::string_view group, const LogPosition &position) const;

    /// @brief Adds a wait. The pair of session and request must not have one already.
    void add(PendingAck pending);

    /// @brief Removes a wait without a result, for example after the caller disconnected.
    void remove(std::uint64_t session, std::uint64_t request);

    /// @brief Removes and returns the completed waits. Call it after each recordMajorityIndex(),
    /// after each change of view or lease, and at nextDeadline(); forward each result to its
    /// session as AckResolved.
    [[nodiscard]] std::vector<ResolvedAck> takeResolved(const ViewTable &views, Instant now);

    /// @brief Returns the groups with waits whose primary must be polled now over a status
    /// connection, at most once per poll interval. Each call counts as a poll of these groups.
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief Next time at which to call takeResolved() or takePolls().
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Number of waits for answers from the primary of a group.
    [[nodiscard]] std::size_t primaryWaitCount(std::string_view group) const;

    /// @brief Number of waits.
    [[nodiscard]] std::size_t size() const noexcept { return pending_.size(); }

private:
    struct GroupState
    {
        std::map<std::uint64_t, std::uint64_t> majorityIndexes{}; ///< Highest index by term.
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
