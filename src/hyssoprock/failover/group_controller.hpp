#pragma once

#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/drain_tracker.hpp>
#include <hyssoprock/failover/failover_context.hpp>
#include <hyssoprock/failover/handover.hpp>
#include <hyssoprock/failover/member_repair.hpp>
#include <hyssoprock/failover/primary_election.hpp>

/// @file
/// @brief Failover control of one group.

namespace hyssoprock {

/// @brief Runs the part that is responsible for the state of a group and proposes its commands.
class GroupController
{
public:
    /// @brief Constructs a controller when this host becomes the leader or the group is declared.
    /// @param group Name of the group.
    /// @param context Shared tables; must outlive this object.
    /// @param now Current time.
    GroupController(std::string group, const FailoverContext &context, Instant now);

    /// @brief Carries out everything that is due.
    /// @param now Current time.
    void step(Instant now);

    /// @brief Handles a committed command of any group.
    /// @param command The command.
    /// @param changed Whether it has changed the view of this group.
    /// @param now Current time.
    void handleCommit(const CatalogCommand &command, bool changed, Instant now);

    /// @brief Handles the response to any call to an endpoint of the group.
    void handleCallSuccess(const PendingCall &call, const EndpointCallResponse &response,
                           Instant now);

    /// @brief Handles the failure of any call to an endpoint of the group.
    void handleCallFailure(const PendingCall &call, const Error &error, Instant now);

private:
    struct Proposal
    {
        CatalogCommand command;
        Instant at{};
    };

    /// The loss of a primary, from its detection to the activation of the next one.
    struct Disruption
    {
        std::string reason;
        std::optional<Instant> lastResponseAt;
        Instant firstDecision{};
        Instant lastDecision{};
        Instant begunAt{};       // commit of the newest BeginTerm
        std::uint32_t terms = 0; // terms begun
    };

    /// A completed change of primary that some hosts have not confirmed.
    struct Propagation
    {
        FailoverReport report;
        ViewBarrier wait;
        Instant since{};
    };

    [[nodiscard]] const GroupRecord *record() const;
    [[nodiscard]] bool proposalPending(Instant now) const;
    void propose(CatalogCommand command, Instant now);
    void probe(const GroupRecord &group, Instant now);
    [[nodiscard]] Duration probeInterval(const GroupRecord &group, const Member &member) const;
    void observe(bool first, Instant now);
    void observeElection(const GroupRecord &group, Instant now);
    void finishElection(const GroupRecord &group, Instant now);
    void stepForming(const GroupRecord &group, Instant now);
    void stepElecting(const GroupRecord &group, Instant now);
    void stepServing(const GroupRecord &group, Instant now);
    [[nodiscard]] std::optional<FailureDetection> detectFailure(const std::string &endpoint,
                                                                Instant now) const;
    [[nodiscard]] bool startElectionIfPrimaryFailed(const GroupView &view, Instant now);
    void noteDisruption(std::string reason, std::optional<Instant> lastResponseAt, Instant now);
    void makeMembersFollow(const GroupView &view, Instant now);
    void reportPropagation(bool interrupted, Instant now);

    std::string group_;
    const FailoverContext &context_;
    Instant startedAt_;
    Instant servingSince_; // when the current primary was activated or this host became leader
    Instant lastServing_;  // when the primary last confirmed its role
    GroupState lastObservedState_{};
    std::optional<Proposal> proposal_;
    std::optional<Disruption> disruption_;
    std::optional<PrimaryElection> election_;
    std::optional<Propagation> propagation_;
    Handover handover_;
    std::string preferred_;
    DrainTracker drains_;
    MemberRepair repair_;
    std::map<std::string, Instant, std::less<>> followSentAt_;
    bool followAllPending_ = false; // every member is sent a follow call, whatever it reports
};

} // namespace hyssoprock
