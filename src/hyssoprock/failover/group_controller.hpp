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
/// @brief Everything that the leader does for one group.

namespace hyssoprock {

/// @brief Chooses, for each state of a group, which part acts, and proposes the parts' commands.
class GroupController
{
public:
    /// @brief Starts with a leadership, or when the group is declared.
    /// @param group Name of the group.
    /// @param context Shared tables; must outlive this object.
    /// @param now Present time.
    GroupController(std::string group, const FailoverContext &context, Instant now);

    /// @brief Does what is due.
    /// @param now Present time.
    void step(Instant now);

    /// @brief Takes a committed command.
    /// @param command The command.
    /// @param changed Whether it has changed the view of this group.
    /// @param now Present time.
    void committed(const CatalogCommand &command, bool changed, Instant now);

    /// @brief Takes the answer to any call to an endpoint of the group.
    void answered(const OpenCall &call, const EndpointCallResponse &report, Instant now);

    /// @brief Takes the failure of any call to an endpoint of the group.
    void failed(const OpenCall &call, const Error &error, Instant now);

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
        std::optional<Instant> lastAnswer;
        Instant firstDecision{};
        Instant lastDecision{};
        Instant begunAt{};       // commit of the newest BeginTerm
        std::uint32_t terms = 0; // terms begun
    };

    /// A finished change of primary that some hosts have not heard of.
    struct Propagation
    {
        FailoverReport report;
        ViewWait wait;
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
    [[nodiscard]] std::optional<FailureVerdict> judge(const std::string &endpoint,
                                                      Instant now) const;
    [[nodiscard]] bool startIfPrimaryFailed(const GroupView &view, Instant now);
    void disrupt(std::string reason, std::optional<Instant> lastAnswer, Instant now);
    void makeMembersFollow(const GroupView &view, Instant now);
    void reportPropagation(bool interrupted, Instant now);

    std::string group_;
    const FailoverContext &context_;
    Instant startedAt_;
    Instant servingSince_; // the present primary was activated, or this leadership began
    Instant lastServing_;  // the primary last answered as such
    GroupState seenState_{};
    std::optional<Proposal> proposal_;
    std::optional<Disruption> disruption_;
    std::optional<PrimaryElection> election_;
    std::optional<Propagation> propagation_;
    Handover handover_;
    std::string preferred_;
    DrainTracker drains_;
    MemberRepair repair_;
    std::map<std::string, Instant, std::less<>> followSentAt_;
    bool tellAll_ = false; // every member is told of the new primary, whatever it reports
};

} // namespace hyssoprock
