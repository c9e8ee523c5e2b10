#include <hyssoprock/failover/coordinator_impl.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/catalog/change_rules.hpp>

namespace hyssoprock {

namespace {

/// Tick while a group has no usable primary; the ends of leases and retries fall on it.
constexpr Duration urgentTick = std::chrono::milliseconds{10};

/// Interval at which every group is looked at.
constexpr Duration sweepInterval = std::chrono::milliseconds{50};

/// An announcement that has not been committed after this time is proposed again.
constexpr Duration announcementRetry = std::chrono::milliseconds{1000};

} // namespace

Coordinator::Impl::Impl(CoordinatorSettings settings, const Catalog &catalog,
                        BudgetAllocator budgets)
    : settings_{std::move(settings)}
    , catalog_{catalog}
    , budgets_{std::move(budgets)}
    , leases_{settings_.lease.hostLease, settings_.clockDriftPerMille}
    , evidence_{settings_.lease.evidence}
    , context_{settings_, catalog_, leases_, evidence_, endpoints_, outbox_, urgent_}
{}

CoordinatorActions Coordinator::Impl::handle(const CoordinatorEvent &event, Instant now,
                                             bool leaderLeaseValid)
{
    std::visit([&](const auto &body) { on(body, now, leaderLeaseValid); }, event);
    return outbox_.take();
}

std::optional<Instant> Coordinator::Impl::nextDeadline() const noexcept
{
    return leading_ ? std::optional{nextTick_} : std::nullopt;
}

void Coordinator::Impl::on(const LeadershipGained &event, Instant now, bool)
{
    end();
    leading_ = true;
    leader_ = settings_.host;
    term_ = event.term;
    leases_.reset(now);
    budgets_.reset(now, leases_.hold());
    addControllers(now);
    nextTick_ = now;
    nextSweep_ = now;
    outbox_.log("leading in term " + std::to_string(term_)
                + ", no primary is changed while leases of an earlier leader may last");
}

void Coordinator::Impl::on(const LeadershipLost &event, Instant, bool)
{
    // Outcomes of proposed changes are unknown here; the operators ask again with the same id.
    for (const auto &[id, request] : operators_) {
        OperatorResponse answer;
        answer.kind = ErrorKind::NotLeader;
        answer.leader = event.leader;
        outbox_.add(SendOperatorResponse{request, std::move(answer)});
    }
    end();
    leader_ = event.leader;
}

void Coordinator::Impl::end()
{
    leading_ = false;
    controllers_.clear();
    urgent_.clear();
    evidence_.clear();
    endpoints_.clear();
    outbox_.clear();
    operators_.clear();
    announced_.clear();
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
        const auto [first, last] = operators_.equal_range(change->changeId);
        for (auto it = first; it != last; ++it) {
            outbox_.add(SendOperatorResponse{it->second, result.answer});
        }
        operators_.erase(first, last);
        addControllers(now);
    }
    if (const auto *record = std::get_if<RecordEndpoint>(&event.command.body); record != nullptr) {
        announced_.erase(record->announcement.endpoint);
    }
    for (auto &[name, controller] : controllers_) {
        const bool changed =
            std::binary_search(result.changedGroups.begin(), result.changedGroups.end(), name);
        controller.committed(event.command, changed, now);
    }
}

void Coordinator::Impl::on(const EndpointCallSucceeded &event, Instant now, bool)
{
    const auto call = leading_ ? outbox_.close(event.call) : std::nullopt;
    if (!call) {
        return;
    }
    if (std::holds_alternative<StatusCall>(call->request)) {
        endpoints_.answered(call->endpoint, event.report, call->sentAt, now);
        addOwnEvidence(call->endpoint, now);
    }
    if (const auto found = controllers_.find(call->group); found != controllers_.end()) {
        found->second.answered(*call, event.report, now);
    }
}

void Coordinator::Impl::on(const EndpointCallFailed &event, Instant now, bool)
{
    const auto call = leading_ ? outbox_.close(event.call) : std::nullopt;
    if (!call) {
        return;
    }
    if (std::holds_alternative<StatusCall>(call->request)) {
        endpoints_.failed(call->endpoint, now);
        addOwnEvidence(call->endpoint, now);
    }
    if (const auto found = controllers_.find(call->group); found != controllers_.end()) {
        found->second.failed(*call, event.error, now);
    }
}

void Coordinator::Impl::addOwnEvidence(const std::string &endpoint, Instant now)
{
    const auto &probe = endpoints_.at(endpoint, now);
    FailureEvidence evidence;
    evidence.endpoint = endpoint;
    evidence.reachable = probe.reachable;
    evidence.silentForMs = static_cast<std::uint64_t>(toMilliseconds(now - probe.answeredAt));
    if (probe.report) {
        evidence.role = probe.report->role;
        evidence.term = probe.report->term;
        evidence.position = probe.report->position;
    }
    evidence_.add({settings_.host, settings_.dataCentre}, evidence, now);
}

void Coordinator::Impl::on(const CoordinatorTick &, Instant now, bool valid)
{
    if (!leading_ || now < nextTick_) {
        return;
    }
    if (valid) {
        for (const auto call : outbox_.overdue(now)) {
            on(EndpointCallFailed{call, {ErrorKind::Unreachable, "no end reported"}}, now, valid);
        }
        if (now >= nextSweep_) {
            nextSweep_ = now + sweepInterval;
            leases_.prune(now);
            for (auto &[name, controller] : controllers_) {
                controller.step(now);
            }
        } else {
            stepUrgent(now);
        }
    }
    nextTick_ = urgent_.empty() ? now + sweepInterval : now + urgentTick;
}

void Coordinator::Impl::stepUrgent(Instant now)
{
    const auto names = urgent_; // A step may change the set.
    for (const auto &name : names) {
        if (const auto found = controllers_.find(name); found != controllers_.end()) {
            found->second.step(now);
        }
    }
}

void Coordinator::Impl::takeEvidence(const HostRenewRequest &request, Instant now)
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

void Coordinator::Impl::takeAnnouncements(const HostRenewRequest &request, Instant now)
{
    for (const auto &announcement : request.announcements) {
        if (checkAnnouncement(catalog_, announcement).has_error()) {
            continue; // known, older, or of a group that is not declared yet
        }
        const auto found = announced_.find(announcement.endpoint);
        if (found != announced_.end() && found->second.first == announcement
            && now < found->second.second + announcementRetry) {
            continue;
        }
        announced_[announcement.endpoint] = {announcement, now};
        outbox_.log(announcement.endpoint + " of " + announcement.group + " announced itself at "
                    + announcement.address);
        outbox_.add(ProposeCommand{CatalogCommand{RecordEndpoint{announcement}}});
    }
}

} // namespace hyssoprock
