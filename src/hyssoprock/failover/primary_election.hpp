#pragma once

#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Election of a primary in one term.

namespace hyssoprock {

/// @brief Fences the voters, waits for leases under older views to end, then chooses and promotes a
/// primary. There is one object per term.
class PrimaryElection
{
public:
    /// @brief Starts the election after the commit of BeginTerm.
    /// @param group Group after the commit.
    /// @param leases Current leases.
    /// @param preferred Voter that wins a tie; empty for none.
    /// @param now Time of the commit.
    PrimaryElection(const GroupRecord &group, const HostLeaseTable &leases, std::string preferred,
                    Instant now);

    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// @brief Makes the calls that are due.
    /// @param group Group in this term.
    /// @param context Shared tables.
    /// @param now Current time.
    /// @return The next command to propose, or nothing.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupRecord &group,
                                                     const FailoverContext &context, Instant now);

    /// @brief Handles the response to a fence or promote call; other calls are ignored.
    void handleCallSuccess(const PendingCall &call, const EndpointCallResponse &response,
                           Instant now);

    /// @brief Handles the failure of a fence or promote call; other calls are ignored.
    void handleCallFailure(const PendingCall &call, const FailoverContext &context,
                           const Error &error, Instant now);

    /// @brief Sets the durations of the phases from BeginTerm to ActivatePrimary in a report.
    /// @param report The report.
    /// @param now Time of the commit of ActivatePrimary.
    void addPhaseDurations(FailoverReport &report, Instant now) const;

private:
    struct Fence
    {
        bool callPending = false;            // a call is in progress
        bool failedOnce = false;             // a call has failed
        Instant retryAt{};                   // when to call again
        std::optional<LogPosition> position; // log position in the response
    };

    void fenceVoters(const GroupView &view, const FailoverContext &context, Instant now);
    [[nodiscard]] bool enoughFenced(const GroupRecord &group) const;
    [[nodiscard]] bool preferredHasResponded() const;
    [[nodiscard]] std::string choose(const GroupView &view, const FailoverContext &context,
                                     Instant now) const;

    std::uint64_t term_;
    std::string preferred_;
    ViewBarrier wait_;
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
