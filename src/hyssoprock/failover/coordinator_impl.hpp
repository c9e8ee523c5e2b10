#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/failover/coordinator.hpp>
#include <hyssoprock/failover/failover_context.hpp>
#include <hyssoprock/failover/group_controller.hpp>

/// @file
/// @brief Implementation of the Coordinator.

namespace hyssoprock {

/// @brief Holds the shared tables and one controller per group, and responds to requests.
class Coordinator::Impl
{
public:
    Impl(CoordinatorSettings settings, const Catalog &catalog, BudgetAllocator budgets);

    [[nodiscard]] CoordinatorActions handle(const CoordinatorEvent &event, Instant now,
                                            bool leaderLeaseValid);
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;
    [[nodiscard]] bool leading() const noexcept { return leading_; }

private:
    void on(const LeadershipGained &event, Instant now, bool valid);
    void on(const LeadershipLost &event, Instant now, bool valid);
    void on(const RenewRequestReceived &event, Instant now, bool valid);
    void on(const OperatorRequestReceived &event, Instant now, bool valid);
    void on(const StatusRequestReceived &event, Instant now, bool valid);
    void on(const CommandCommitted &event, Instant now, bool valid);
    void on(const EndpointCallSucceeded &event, Instant now, bool valid);
    void on(const EndpointCallFailed &event, Instant now, bool valid);
    void on(const CoordinatorTick &event, Instant now, bool valid);

    void resetLeadership();
    void addControllers(Instant now);
    void proposeAnnouncements(const HostRenewRequest &request, Instant now);
    void addEvidence(const HostRenewRequest &request, Instant now);
    void stepUrgent(Instant now);
    [[nodiscard]] HostRenewResponse makeRenewResponse(const HostRenewRequest &request, Instant now);
    [[nodiscard]] std::vector<BudgetGrant> renewBudgets(const HostRenewRequest &request,
                                                        Instant now);
    [[nodiscard]] StatusResponse status(const StatusRequest &request, Instant now) const;
    [[nodiscard]] EndpointStatus endpointStatus(const Member &member, Instant now) const;
    void addOwnEvidence(const std::string &endpoint, Instant now);

    CoordinatorSettings settings_;
    const Catalog &catalog_;
    BudgetAllocator budgets_;
    HostLeaseTable leases_;
    EvidenceTable evidence_;
    EndpointProbeTable probes_;
    Outbox outbox_;
    std::set<std::string> urgentGroups_;
    FailoverContext context_;
    std::map<std::string, GroupController, std::less<>> controllers_;

    bool leading_ = false;
    std::string leader_;
    std::uint64_t term_ = 0;
    Instant nextTick_{};
    Instant nextGroupCheck_{};
    std::multimap<std::string, RequestId> operatorRequests_; // by change ID
    std::map<std::string, std::pair<Announcement, Instant>, std::less<>>
        proposedAnnouncements_; // with the time of proposal
};

} // namespace hyssoprock
