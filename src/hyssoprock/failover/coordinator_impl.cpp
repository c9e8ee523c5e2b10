#include <hyssoprock/failover/coordinator_impl.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/catalog/change_rules.hpp>

namespace hyssoprock {

namespace {

/// Tick interval while a group has no usable primary. It limits the delay after a lease has ended
/// or a retry is due.
constexpr Duration urgentTickInterval = std::chrono::milliseconds{10};

/// Interval at which every group is checked.
constexpr Duration groupCheckInterval = std::chrono::milliseconds{50};

/// Delay until an announcement that has not been committed is proposed again.
constexpr Duration announcementRetryDelay = std::chrono::milliseconds{1000};

} // namespace

Coordinator::Impl::Impl(CoordinatorSettings settings, const Catalog &catalog,
                        BudgetAllocator budgets)
    : settings_{std::move(settings)}
    , catalog_{catalog}
    , budgets_{std::move(budgets)}
    , leases_{settings_.lease.hostLease, settings_.clockDriftPerMille}
    , evidence_{settings_.lease.evidence}
    , context_{settings_, catalog_, leases_, evidence_, probes_, outbox_, urgentGroups_}
{}

CoordinatorActions Coordinator::Impl::handle(const CoordinatorEvent &event, Instant now,
                                             bool leaderLeaseValid)
{
    std::visit([&](const auto &body) { on(body, now, leaderLeaseValid); }, event);
    return outbox_.takeActions();
}

std::optional<Instant> Coordinator::Impl::nextDeadline() const noexcept
{
    return leading_ ? std::optional{nextTick_} : std::nullopt;
}

void Coordinator::Impl::on(const LeadershipGained &event, Instant now, bool)
{
    resetLeadership();
    leading_ = true;
    leader_ = settings_.host;
    term_ = event.term;
    leases_.reset(now);
    budgets_.reset(now, leases_.reservationDuration());
    addControllers(now);
    nextTick_ = now;
    nextGroupCheck_ = now;
    outbox_.log("leading in term " + std::to_string(term_)
                + ", no primary is changed while leases of an earlier leader may last");
}

void Coordinator::Impl::on(const LeadershipLost &event, Instant, bool)
{
    // The outcomes of proposed changes are unknown here; operators repeat them with the same ID.
    for (const auto &[id, request] : operatorRequests_) {
        OperatorResponse response;
        response.kind = ErrorKind::NotLeader;
        response.leader = event.leader;
        outbox_.add(SendOperatorResponse{request, std::move(response)});
    }
    resetLeadership();
    leader_ = event.leader;
}

void Coordinator::Impl::resetLeadership()
{
    leading_ = false;
    controllers_.clear();
    urgentGroups_.clear();
    evidence_.clear();
    probes_.clear();
    outbox_.clear();
    operatorRequests_.clear();
    proposedAnnouncements_.clear();
}

void Coordinator::Impl::addControllers(Instant now)
{
    for (const auto &[name, record] : catalog_.groups()) {
        controllers_.try_emplace(name, name, context_, now);
    }
}

void Coordinator::Impl::on(const CommandCommitted &event, Instant now, bool)
{
    if (!leading_) {
        return;
    }
    const auto &result = event.result;
    if (!result.changedGroups.empty() || result.configurationChanged) {
        PushView push;
        push.message.viewVersion = catalog_.viewVersion();
        push.message.previousVersion = catalog_.viewVersion() - result.changedGroups.size();
        push.message.views = catalog_.viewsAfter(push.message.previousVersion);
        if (result.configurationChanged) {
            push.message.configuration = catalog_.configuration();
        }
        outbox_.add(std::move(push));
    }
    if (const auto *change = std::get_if<OperatorChange>(&event.command.body); change != nullptr) {
        const auto [first, last] = operatorRequests_.equal_range(change->changeId);
        for (auto it = first; it != last; ++it) {
            outbox_.add(SendOperatorResponse{it->second, result.answer});
        }
        operatorRequests_.erase(first, last);
        addControllers(now);
    }
    if (const auto *record = std::get_if<RecordEndpoint>(&event.command.body); record != nullptr) {
        proposedAnnouncements_.erase(record->announcement.endpoint);
    }
    for (auto &[name, controller] : controllers_) {
        const bool changed =
            std::binary_search(result.changedGroups.begin(), result.changedGroups.end(), name);
        controller.handleCommit(event.command, changed, now);
    }
}

void Coordinator::Impl::on(const EndpointCallSucceeded &event, Instant now, bool)
{
    const auto call = leading_ ? outbox_.complete(event.call) : std::nullopt;
    if (!call) {
        return;
    }
    if (std::holds_alternative<StatusCall>(call->request)) {
        probes_.handleCallSuccess(call->endpoint, event.response, call->sentAt, now);
        addOwnEvidence(call->endpoint, now);
    }
    if (const auto found = controllers_.find(call->group); found != controllers_.end()) {
        found->second.handleCallSuccess(*call, event.response, now);
    }
}

void Coordinator::Impl::on(const EndpointCallFailed &event, Instant now, bool)
{
    const auto call = leading_ ? outbox_.complete(event.call) : std::nullopt;
    if (!call) {
        return;
    }
    if (std::holds_alternative<StatusCall>(call->request)) {
        probes_.handleCallFailure(call->endpoint, now);
        addOwnEvidence(call->endpoint, now);
    }
    if (const auto found = controllers_.find(call->group); found != controllers_.end()) {
        found->second.handleCallFailure(*call, event.error, now);
    }
}

void Coordinator::Impl::addOwnEvidence(const std::string &endpoint, Instant now)
{
    const auto &probe = probes_.at(endpoint, now);
    FailureEvidence evidence;
    evidence.endpoint = endpoint;
    evidence.reachable = probe.reachable;
    evidence.silentForMs = static_cast<std::uint64_t>(toMilliseconds(now - probe.respondedAt));
    if (probe.status) {
        evidence.role = probe.status->role;
        evidence.term = probe.status->term;
        evidence.position = probe.status->position;
    }
    evidence_.add({settings_.host, settings_.dataCentre}, evidence, now);
}

void Coordinator::Impl::on(const CoordinatorTick &, Instant now, bool valid)
{
    if (!leading_ || now < nextTick_) {
        return;
    }
    if (valid) {
        for (const auto call : outbox_.overdueCalls(now)) {
            on(EndpointCallFailed{call, {ErrorKind::Unreachable, "no outcome reported"}}, now,
               valid);
        }
        if (now >= nextGroupCheck_) {
            nextGroupCheck_ = now + groupCheckInterval;
            leases_.prune(now);
            for (auto &[name, controller] : controllers_) {
                controller.step(now);
            }
        } else {
            stepUrgent(now);
        }
    }
    nextTick_ = urgentGroups_.empty() ? now + groupCheckInterval : now + urgentTickInterval;
}

void Coordinator::Impl::stepUrgent(Instant now)
{
    const auto names = urgentGroups_; // step() may change the set
    for (const auto &name : names) {
        if (const auto found = controllers_.find(name); found != controllers_.end()) {
            found->second.step(now);
        }
    }
}

void Coordinator::Impl::addEvidence(const HostRenewRequest &request, Instant now)
{
    const HostLocation prober{request.host, request.dataCentre};
    for (const auto &evidence : request.evidence) {
        evidence_.add(prober, evidence, now);
        const auto *group = catalog_.groupOf(evidence.endpoint);
        if (group == nullptr || evidence.reachable || group->view.primary != evidence.endpoint) {
            continue;
        }
        if (const auto found = controllers_.find(group->view.group); found != controllers_.end()) {
            found->second.step(now);
        }
    }
}

void Coordinator::Impl::proposeAnnouncements(const HostRenewRequest &request, Instant now)
{
    for (const auto &announcement : request.announcements) {
        if (checkAnnouncement(catalog_, announcement).has_error()) {
            continue; // known, outdated, or of an undeclared group
        }
        const auto found = proposedAnnouncements_.find(announcement.endpoint);
        if (found != proposedAnnouncements_.end() && found->second.first == announcement
            && now < found->second.second + announcementRetryDelay) {
            continue;
        }
        proposedAnnouncements_[announcement.endpoint] = {announcement, now};
        outbox_.log(announcement.endpoint + " of " + announcement.group + " announced itself at "
                    + announcement.address);
        outbox_.add(ProposeCommand{CatalogCommand{RecordEndpoint{announcement}}});
    }
}

} // namespace hyssoprock
