#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Maintains the number of voters of a group and their distribution over data centres.

namespace hyssoprock {

/// @brief Adds and removes voters of one group, one at a time.
///
/// Majorities of two sets of voters are certain to overlap only if the sets differ by one voter. So
/// the next change waits until the previous one is settled: every host with a lease and the primary
/// have the new voters, and a majority of them holds everything that the primary had at that time.
/// The same applies after a change of primary, because writes of the previous term may be held by a
/// majority that includes a voter that is out of service.
///
/// If a replacement had to put two voters into one data centre, a later change redistributes them:
/// a spare in another data centre is added first, then a voter of the data centre with the most
/// voters is removed.
class MemberRepair
{
public:
    /// @brief Carries out what is due.
    /// @param group Group with an active primary.
    /// @param context Shared tables.
    /// @param now Current time.
    /// @return SetVoter to add or remove a voter, or nothing.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupRecord &group,
                                                     const FailoverContext &context, Instant now);

    /// @brief Handles the response to a voters call; other calls are ignored.
    void handleCallSuccess(const PendingCall &call);

    /// @brief Handles the failure of a voters call; other calls are ignored.
    void handleCallFailure(const PendingCall &call, const FailoverContext &context, Instant now);

    /// @brief Records that a primary was promoted with the current voters.
    /// @param term Its term.
    /// @param voterVersion Version of the voters.
    void handlePromotion(std::uint64_t term, std::uint64_t voterVersion) noexcept;

    /// @brief Whether the current voters are settled, so that the next change may begin.
    [[nodiscard]] bool settled() const noexcept { return settled_; }

    /// @brief Whether the voters could be distributed better, so that a change may follow soon.
    [[nodiscard]] bool canRebalance() const noexcept { return rebalancePossibleSince_.has_value(); }

private:
    void settle(const GroupRecord &group, const FailoverContext &context, Instant now);
    void restart(const GroupRecord &group, const FailoverContext &context, Instant now);
    [[nodiscard]] std::optional<CatalogCommand>
    nextChange(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] std::optional<CatalogCommand>
    rebalanceVoters(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] static std::optional<CatalogCommand>
    removeExcessVoter(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] static std::optional<CatalogCommand>
    add(const Member &spare, const std::string &reason, const GroupView &view,
        const FailoverContext &context, Instant now);

    std::uint64_t term_ = 0;
    std::uint64_t voterVersion_ = 0;
    std::optional<ViewBarrier> wait_;
    bool primaryHasVoters_ = false;
    bool callPending_ = false;
    Instant retryAt_{};
    std::optional<Instant> votersConfirmedAt_; // since when hosts and primary have the voters
    std::optional<std::uint64_t> settleIndex_; // index that a majority has to hold
    bool settled_ = false;
    std::optional<Instant> rebalancePossibleSince_; // without interruption
    std::uint64_t promotedTerm_ = 0;
    std::uint64_t promotedVersion_ = 0;
};

} // namespace hyssoprock
