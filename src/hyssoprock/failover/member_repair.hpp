#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Keeps the voters of a group at the declared number and spread over data centres.

namespace hyssoprock {

/// @brief Adds and removes voters of one group, one at a time.
///
/// Majorities of two sets of voters overlap only if the sets differ by one voter. So the next
/// change waits until the former one is settled: every host with a lease has the new voters, the
/// primary has them, and a majority of them holds everything that the primary had at that moment.
/// The same holds after a change of primary, because the writes of the term before may be held by
/// a majority that includes a lost voter.
///
/// If a repair had to put two voters into one data centre, a later change spreads them again: the
/// spare elsewhere is added first, and then a voter of the crowded data centre is surplus.
class MemberRepair
{
public:
    /// @brief Goes on.
    /// @param group Group with an active primary.
    /// @param context Shared tables.
    /// @param now Present time.
    /// @return SetVoter if a voter is to be added or removed.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupRecord &group,
                                                     const FailoverContext &context, Instant now);

    /// @brief Takes the answer to a voters call.
    void answered(const OpenCall &call);

    /// @brief Takes the failure of a voters call.
    void failed(const OpenCall &call, const FailoverContext &context, Instant now);

    /// @brief Notes that a primary was promoted with the present voters.
    /// @param term Its term.
    /// @param voterVersion Version of the voters.
    void promoted(std::uint64_t term, std::uint64_t voterVersion) noexcept;

    /// @brief Whether the present voters are settled.
    [[nodiscard]] bool settled() const noexcept { return settled_; }

    /// @brief Whether a better spread of the voters is possible and may follow soon.
    [[nodiscard]] bool mayMoveVoter() const noexcept { return betterSince_.has_value(); }

private:
    void settle(const GroupRecord &group, const FailoverContext &context, Instant now);
    void startOver(const GroupRecord &group, const FailoverContext &context, Instant now);
    [[nodiscard]] std::optional<CatalogCommand>
    nextChange(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] std::optional<CatalogCommand>
    improveSpread(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] static std::optional<CatalogCommand>
    removeSurplus(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] static std::optional<CatalogCommand>
    add(const Member &spare, const std::string &reason, const GroupView &view,
        const FailoverContext &context, Instant now);

    std::uint64_t term_ = 0;
    std::uint64_t voterVersion_ = 0;
    std::optional<ViewWait> wait_;
    bool primaryHasVoters_ = false;
    bool callOpen_ = false;
    Instant retryAt_{};
    std::optional<Instant> readyAt_;        // hosts and primary have the voters since
    std::optional<std::uint64_t> heldUpTo_; // index that a majority has to hold
    bool settled_ = false;
    std::optional<Instant> betterSince_; // a better spread has been possible without a break
    std::uint64_t promotedTerm_ = 0;
    std::uint64_t promotedVersion_ = 0;
};

} // namespace hyssoprock
