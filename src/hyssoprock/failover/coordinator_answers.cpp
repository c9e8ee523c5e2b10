#include <algorithm>

#include <hyssoprock/failover/coordinator_impl.hpp>

/// @file
/// @brief Answers to entry hosts, operators and status requests.

namespace hyssoprock {

void Coordinator::Impl::on(const RenewRequestReceived &event, Instant now, bool valid)
{
    const auto &request = event.message;
    // A host with a newer view than this catalogue has been served by a later leader.
    if (!leading_ || !valid || request.viewVersion > catalog_.viewVersion()) {
        HostRenewResponse answer;
        answer.kind = ErrorKind::NotLeader;
        answer.leader = leading_ ? std::string{} : leader_;
        answer.sequence = request.sequence;
        outbox_.add(SendRenewResponse{event.request, std::move(answer)});
        return;
    }
    if (!leases_.accepts(request)) {
        return; // a duplicate, or from a former process of the host
    }
    leases_.renew(request, now);
    outbox_.add(SendRenewResponse{event.request, answerTo(request, now)});
    takeEvidence(request, now);
    takeAnnouncements(request, now);
    stepUrgent(now);
}

HostRenewResponse Coordinator::Impl::answerTo(const HostRenewRequest &request, Instant now)
{
    HostRenewResponse answer;
    answer.leader = settings_.host;
    answer.sequence = request.sequence;
    answer.viewVersion = catalog_.viewVersion();
    if (request.leaving) {
        return answer; // its budgets end with the expiry of its last grants
    }
    answer.leaseMs = static_cast<std::uint64_t>(toMilliseconds(leases_.length()));
    answer.views = catalog_.viewsAfter(request.viewVersion);
    if (const auto &valid = leases_.validHosts(now); valid.digest != request.hostsDigest) {
        answer.hosts = valid.names;
    }
    if (request.configRevision < catalog_.configuration().revision) {
        answer.configuration = catalog_.configuration();
    }
    answer.grants = renewBudgets(request, now);
    return answer;
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
    return budgets_.renew(request.host, request.demand, limits, now, leases_.hold());
}

void Coordinator::Impl::on(const OperatorRequestReceived &event, Instant, bool valid)
{
    OperatorResponse answer;
    answer.revision = catalog_.configuration().revision;
    if (!leading_ || !valid) {
        answer.kind = ErrorKind::NotLeader;
        answer.leader = leading_ ? std::string{} : leader_;
    } else if (!event.message.change) {
        answer.kind = ErrorKind::InvalidValue;
        answer.detail = "the request has no configuration change";
    } else {
        // A resent change is proposed again: only the catalogue knows its first answer.
        operators_.emplace(event.message.change->changeId, event.request);
        outbox_.add(ProposeCommand{CatalogCommand{*event.message.change}});
        return;
    }
    outbox_.add(SendOperatorResponse{event.request, std::move(answer)});
}

void Coordinator::Impl::on(const StatusRequestReceived &event, Instant now, bool valid)
{
    StatusResponse answer;
    if (leading_ && valid) {
        answer = status(event.message, now);
    } else {
        answer.kind = ErrorKind::NotLeader;
        answer.leader = leading_ ? std::string{} : leader_;
    }
    outbox_.add(SendStatusResponse{event.request, std::move(answer)});
}

StatusResponse Coordinator::Impl::status(const StatusRequest &request, Instant now) const
{
    StatusResponse answer;
    answer.leader = settings_.host;
    answer.term = term_;
    answer.configuration = catalog_.configuration();
    for (const auto &[name, record] : catalog_.groups()) {
        if (!request.group.empty() && request.group != name) {
            continue;
        }
        answer.views.push_back(record.view);
        for (const auto &member : record.view.members) {
            answer.endpoints.push_back(endpointStatus(member, now));
        }
    }
    for (const auto &[name, lease] : leases_.all()) {
        HostStatus host;
        host.host = name;
        host.dataCentre = lease.place.dataCentre;
        host.viewVersion = std::min(lease.confirmedView, catalog_.viewVersion());
        host.configRevision = lease.configRevision;
        host.leaseRemainingMs = toMilliseconds(lease.expiry - now);
        answer.hosts.push_back(std::move(host));
    }
    return answer;
}

EndpointStatus Coordinator::Impl::endpointStatus(const Member &member, Instant now) const
{
    EndpointStatus status;
    status.member = member;
    status.group = member.announcement.group;
    if (const auto *probe = endpoints_.find(member.announcement.endpoint); probe != nullptr) {
        status.reachable = probe->reachable;
        if (probe->report) {
            status.role = probe->report->role;
            status.position = probe->report->position;
        }
    }
    status.granted = budgets_.granted(member.announcement.endpoint, now);
    return status;
}

} // namespace hyssoprock
