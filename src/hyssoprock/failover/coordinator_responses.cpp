#include <algorithm>

#include <hyssoprock/failover/coordinator_impl.hpp>

/// @file
/// @brief Responses of the Coordinator to entry hosts, operators and status requests.

namespace hyssoprock {

void Coordinator::Impl::on(const RenewRequestReceived &event, Instant now, bool valid)
{
    const auto &request = event.message;
    // A host with a newer view than this catalogue has got it from a later leader.
    if (!leading_ || !valid || request.viewVersion > catalog_.viewVersion()) {
        HostRenewResponse response;
        response.kind = ErrorKind::NotLeader;
        response.leader = leading_ ? std::string{} : leader_;
        response.sequence = request.sequence;
        outbox_.add(SendRenewResponse{event.request, std::move(response)});
        return;
    }
    if (!leases_.isNewer(request)) {
        return; // a duplicate, or from an earlier process of the host
    }
    leases_.renew(request, now);
    outbox_.add(SendRenewResponse{event.request, makeRenewResponse(request, now)});
    addEvidence(request, now);
    proposeAnnouncements(request, now);
    stepUrgent(now);
}

HostRenewResponse Coordinator::Impl::makeRenewResponse(const HostRenewRequest &request, Instant now)
{
    HostRenewResponse response;
    response.leader = settings_.host;
    response.sequence = request.sequence;
    response.viewVersion = catalog_.viewVersion();
    if (request.leaving) {
        return response; // its budgets end when its last grants expire
    }
    response.leaseMs = static_cast<std::uint64_t>(toMilliseconds(leases_.leaseDuration()));
    response.views = catalog_.viewsAfter(request.viewVersion);
    if (const auto &valid = leases_.validHosts(now); valid.digest != request.hostsDigest) {
        response.hosts = valid.names;
    }
    if (request.configRevision < catalog_.configuration().revision) {
        response.configuration = catalog_.configuration();
    }
    response.grants = renewBudgets(request, now);
    return response;
}

std::vector<BudgetGrant> Coordinator::Impl::renewBudgets(const HostRenewRequest &request,
                                                         Instant now)
{
    std::vector<EndpointLimit> limits;
    for (const auto &demand : request.demand) {
        if (const auto *member = catalog_.findMember(demand.endpoint); member != nullptr) {
            limits.push_back({demand.endpoint, member->announcement.connectionLimit});
        }
    }
    return budgets_.renew(request.host, request.demand, limits, now, leases_.reservationDuration());
}

void Coordinator::Impl::on(const OperatorRequestReceived &event, Instant, bool valid)
{
    OperatorResponse response;
    response.revision = catalog_.configuration().revision;
    if (!leading_ || !valid) {
        response.kind = ErrorKind::NotLeader;
        response.leader = leading_ ? std::string{} : leader_;
    } else if (!event.message.change) {
        response.kind = ErrorKind::InvalidValue;
        response.detail = "the request has no configuration change";
    } else {
        // A repeated change is proposed again: only the catalogue has the first response to it.
        operatorRequests_.emplace(event.message.change->changeId, event.request);
        outbox_.add(ProposeCommand{CatalogCommand{*event.message.change}});
        return;
    }
    outbox_.add(SendOperatorResponse{event.request, std::move(response)});
}

void Coordinator::Impl::on(const StatusRequestReceived &event, Instant now, bool valid)
{
    StatusResponse response;
    if (leading_ && valid) {
        response = status(event.message, now);
    } else {
        response.kind = ErrorKind::NotLeader;
        response.leader = leading_ ? std::string{} : leader_;
    }
    outbox_.add(SendStatusResponse{event.request, std::move(response)});
}

StatusResponse Coordinator::Impl::status(const StatusRequest &request, Instant now) const
{
    StatusResponse response;
    response.leader = settings_.host;
    response.term = term_;
    response.configuration = catalog_.configuration();
    for (const auto &[name, record] : catalog_.groups()) {
        if (!request.group.empty() && request.group != name) {
            continue;
        }
        response.views.push_back(record.view);
        for (const auto &member : record.view.members) {
            response.endpoints.push_back(endpointStatus(member, now));
        }
    }
    for (const auto &[name, lease] : leases_.all()) {
        HostStatus host;
        host.host = name;
        host.dataCentre = lease.location.dataCentre;
        host.viewVersion = std::min(lease.confirmedView, catalog_.viewVersion());
        host.configRevision = lease.configRevision;
        host.leaseRemainingMs = toMilliseconds(lease.expiry - now);
        response.hosts.push_back(std::move(host));
    }
    return response;
}

EndpointStatus Coordinator::Impl::endpointStatus(const Member &member, Instant now) const
{
    EndpointStatus status;
    status.member = member;
    status.group = member.announcement.group;
    if (const auto *probe = probes_.find(member.announcement.endpoint); probe != nullptr) {
        status.reachable = probe->reachable;
        if (probe->status) {
            status.role = probe->status->role;
            status.position = probe->status->position;
        }
    }
    status.granted = budgets_.granted(member.announcement.endpoint, now);
    return status;
}

} // namespace hyssoprock
