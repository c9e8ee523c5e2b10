#pragma once

#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief The election of a primary in one term.

namespace hyssoprock {

/// @brief Fences the voters, waits for leases, chooses, promotes. One object for each term begun.
class PrimaryElection
{
public:
    /// @brief Starts after the commit of BeginTerm.
    /// @param group Group as it is after the commit.
    /// @param leases Leases granted until now.
    /// @param preferred Voter that is to win a tie; empty for none.
    /// @param now Time of the commit.
    PrimaryElection(const GroupRecord &group, const HostLeaseTable &leases, std::string preferred,
                    Instant now);

    /// @brief Term of the election.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// @brief Makes the calls that are due.
    /// @param group Group in this term.
    /// @param context Shared tables.
    /// @param now Present time.
    /// @return The command that is to be proposed next, if any.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupRecord &group,
                                                     const FailoverContext &context, Instant now);

    /// @brief Takes the answer to a fence or promote call.
    void answered(const OpenCall &call, const EndpointCallResponse &report, Instant now);

    /// @brief Takes the failure of a fence or promote call.
    void failed(const OpenCall &call, const FailoverContext &context, const Error &error,
                Instant now);

    /// @brief Adds the shares of this term, up to the activation, to a report.
    /// @param report Report to fill.
    /// @param now Time of the commit of ActivatePrimary.
    void addShares(FailoverReport &report, Instant now) const;

private:
    struct Fence
    {
        bool open = false;                   // a call is under way
        bool failedOnce = false;             // a call has failed
        Instant retryAt{};                   // when to call again
        std::optional<LogPosition> position; // the answer
    };

    void fenceVoters(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] bool enoughFenced(const GroupRecord &group) const;
    [[nodiscard]] bool preferredHasBeenAsked() const;
    [[nodiscard]] std::string choose(const GroupView &view, const FailoverContext &context,
                                     Instant now) const;

    std::uint64_t term_;
    std::string preferred_;
    ViewWait wait_;
    std::map<std::string, Fence, std::less<>> fences_;
    bool promoteSent_ = false;
    bool promoted_ = false;
    bool failed_ = false;
    std::string chosen_;
    Instant begunAt_;
    std::optional<Instant> fencedAt_;
    std::optional<Instant> leasesClearAt_;
};

} // namespace hyssoprock
