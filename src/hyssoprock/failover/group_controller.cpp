#include <hyssoprock/failover/group_controller.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace hyssoprock {

namespace {

/// Delay until a command that has not been committed is proposed again. The catalogue rejects a
/// duplicate, so the delay only has to exceed the usual commit time.
constexpr Duration proposalRetryDelay = std::chrono::milliseconds{1000};

/// Interval of status calls during a handover. It is short because hosts queue work meanwhile.
constexpr Duration handoverProbeInterval = std::chrono::milliseconds{20};

/// Factor by which the probe interval of replicas is longer while the group needs no change.
constexpr int settledProbeIntervalFactor = 4;

std::string formatPhases(const FailoverReport &report)
{
    const auto phase = [](const char *name, Duration duration) {
        return std::string{", "} + name + " " + std::to_string(toMilliseconds(duration)) + " ms";
    };
    return "total " + std::to_string(toMilliseconds(report.total())) + " ms"
           + phase("detection", report.detection) + phase("earlier terms", report.earlierTerms)
           + phase("consensus", report.consensus) + phase("fencing", report.fencing)
           + phase("leases", report.leaseWait) + phase("promotion", report.promotion)
           + phase("propagation", report.propagation);
}

} // namespace

GroupController::GroupController(std::string group, const FailoverContext &context, Instant now)
    : group_{std::move(group)}
    , context_{context}
    , startedAt_{now}
    , servingSince_{now}
    , lastServing_{now}
{
    observe(true, now);
}

const GroupRecord *GroupController::record() const
{
    return context_.catalog.findGroup(group_);
}

bool GroupController::proposalPending(Instant now) const
{
    return proposal_ && now < proposal_->at + proposalRetryDelay;
}

void GroupController::propose(CatalogCommand command, Instant now)
{
    if (proposalPending(now)) {
        return;
    }
    if (const auto *begin = std::get_if<BeginTerm>(&command.body); begin != nullptr) {
        if (!disruption_) {
            noteDisruption("election of an earlier leader", std::nullopt, now);
        }
        const bool again = proposal_ && proposal_->command == command;
        disruption_->lastDecision = again ? disruption_->lastDecision : now;
        disruption_->terms += again ? 0 : 1;
    }
    proposal_ = Proposal{command, now};
    context_.outbox.add(ProposeCommand{std::move(command)});
}

void GroupController::noteDisruption(std::string reason, std::optional<Instant> lastResponseAt,
                                     Instant now)
{
    if (!disruption_) {
        disruption_ = Disruption{std::move(reason), lastResponseAt, now, now, now, 0};
    }
}

void GroupController::handleCommit(const CatalogCommand &command, bool changed, Instant now)
{
    const bool own = proposal_ && proposal_->command == command;
    if (own) {
        proposal_.reset();
    }
    if (changed) {
        observe(false, now);
    }
    if (changed || own) {
        step(now);
    }
}

void GroupController::observe(bool first, Instant now)
{
    const auto &group = *record();
    const auto &view = group.view;
    if (view.state == GroupState::Electing) {
        observeElection(group, now);
    } else if (election_) {
        finishElection(group, now);
    }
    if (view.state != GroupState::Handover) {
        handover_.reset();
    } else if (lastObservedState_ != GroupState::Handover && !first) {
        handover_.handleBegin(view, now);
    }
    lastObservedState_ = view.state;
}

void GroupController::observeElection(const GroupRecord &group, Instant now)
{
    const auto &view = group.view;
    if (election_ && election_->term() == view.term) {
        return;
    }
    if (propagation_) {
        reportPropagation(true, now);
    }
    if (!view.primary.empty()) {
        // An earlier leader chose this primary and may have promoted it, so this term is abandoned.
        election_.reset();
        return;
    }
    preferred_ = handover_.successor();
    noteDisruption("election of an earlier leader", std::nullopt, now);
    disruption_->begunAt = now;
    disruption_->terms = std::max(disruption_->terms, 1U);
    election_.emplace(group, context_.leases, preferred_, now);
}

void GroupController::finishElection(const GroupRecord &group, Instant now)
{
    const auto &view = group.view;
    FailoverReport report;
    report.group = group_;
    report.term = view.term;
    report.endpoint = view.primary;
    if (disruption_) {
        report.reason = disruption_->reason;
        report.terms = disruption_->terms;
        report.detection = disruption_->firstDecision
                           - disruption_->lastResponseAt.value_or(disruption_->firstDecision);
        report.earlierTerms = disruption_->lastDecision - disruption_->firstDecision;
        report.consensus = disruption_->begunAt - disruption_->lastDecision;
    }
    election_->addPhaseDurations(report, now);
    propagation_.emplace(Propagation{report, ViewBarrier{context_.leases, view.version, now}, now});
    repair_.handlePromotion(view.term, group.voterVersion);
    election_.reset();
    disruption_.reset();
    preferred_.clear();
    followSentAt_.clear();
    followAllPending_ = true;
    servingSince_ = now;
    lastServing_ = now;
}

void GroupController::reportPropagation(bool interrupted, Instant now)
{
    auto report = propagation_->report;
    report.propagation = now - propagation_->since;
    context_.outbox.log(group_ + ": " + report.endpoint + " is primary in term "
                        + std::to_string(report.term) + " (" + report.reason + "; "
                        + formatPhases(report) + (interrupted ? "; lost again)" : ")"));
    context_.outbox.add(ReportFailover{std::move(report)});
    propagation_.reset();
}

void GroupController::step(Instant now)
{
    const auto &group = *record();
    probe(group, now);
    if (propagation_ && propagation_->wait.done(context_.leases, now)) {
        reportPropagation(false, now);
    }
    switch (group.view.state) {
    case GroupState::Forming:
        stepForming(group, now);
        break;
    case GroupState::Electing:
        stepElecting(group, now);
        break;
    case GroupState::Active:
    case GroupState::Handover:
        stepServing(group, now);
        break;
    }
    const auto state = record()->view.state;
    if (state == GroupState::Electing || state == GroupState::Handover || propagation_) {
        context_.urgentGroups.insert(group_);
    } else {
        context_.urgentGroups.erase(group_);
    }
}

void GroupController::stepForming(const GroupRecord &group, Instant now)
{
    const auto declared = declaredInstances(context_.catalog, group_);
    const auto active =
        std::count_if(group.view.members.begin(), group.view.members.end(),
                      [](const Member &member) { return member.state == EndpointState::Active; });
    if (declared > 0 && std::cmp_greater_equal(active, declared)
        && now >= context_.leases.formerLeasesEndAt()) {
        noteDisruption("first primary of the group", std::nullopt, now);
        propose(CatalogCommand{BeginTerm{group_, group.view.term + 1}}, now);
    }
}

void GroupController::stepElecting(const GroupRecord &group, Instant now)
{
    if (!election_) {
        if (now >= context_.leases.formerLeasesEndAt()) {
            propose(CatalogCommand{BeginTerm{group_, group.view.term + 1}}, now);
        }
    } else if (auto command = election_->step(group, context_, now); command) {
        propose(std::move(*command), now);
    }
    if (auto stopped = drains_.step(group.view, context_, now); stopped) {
        propose(std::move(*stopped), now);
    }
}

void GroupController::stepServing(const GroupRecord &group, Instant now)
{
    const auto &view = group.view;
    makeMembersFollow(view, now);
    if (now < context_.leases.formerLeasesEndAt() || startElectionIfPrimaryFailed(view, now)) {
        return;
    }
    if (proposalPending(now)) {
        return;
    }
    disruption_.reset();
    std::optional<CatalogCommand> command;
    if (view.state == GroupState::Handover) {
        command = handover_.step(view, context_, now);
        if (command && std::holds_alternative<BeginTerm>(command->body)) {
            noteDisruption("planned stop of " + view.primary, handover_.begunAt(), now);
        }
    } else {
        const auto *primary = findMember(view, view.primary);
        if (primary->state == EndpointState::Draining) {
            command = handover_.begin(view, context_, now);
        }
        if (!command) {
            command = drains_.step(view, context_, now);
        }
        if (!command) {
            command = repair_.step(group, context_, now);
        }
    }
    if (command) {
        propose(std::move(*command), now);
    }
}

std::optional<FailureDetection> GroupController::detectFailure(const std::string &endpoint,
                                                               Instant now) const
{
    if (!context_.evidence.hasSilenceReports(endpoint, now)) {
        return std::nullopt;
    }
    const HostLocation leader{context_.settings.host, context_.settings.dataCentre};
    return context_.evidence.detectFailure(endpoint, context_.leases, leader, now);
}

bool GroupController::startElectionIfPrimaryFailed(const GroupView &view, Instant now)
{
    const auto failure = detectFailure(view.primary, now);
    const auto *probe = context_.probes.find(view.primary);
    const bool responded =
        probe != nullptr && probe->status && probe->requestSentAt > servingSince_;
    const bool isServing =
        responded && probe->status->role == "primary" && probe->status->term == view.term;
    if (isServing) {
        lastServing_ = probe->respondedAt;
    }
    if (failure) {
        noteDisruption(view.primary + " " + failure->reason, failure->lastResponseAt, now);
    } else if (responded && !isServing) {
        noteDisruption(view.primary + " restarted or lost its role", lastServing_, now);
    } else {
        return false;
    }
    if (!proposal_) {
        context_.outbox.log(view.group + ": primary of term " + std::to_string(view.term)
                            + " has failed: " + disruption_->reason);
    }
    propose(CatalogCommand{BeginTerm{view.group, view.term + 1}}, now);
    return true;
}

Duration GroupController::probeInterval(const GroupRecord &group, const Member &member) const
{
    const auto &view = group.view;
    const auto interval = context_.settings.lease.probeInterval;
    if (view.state == GroupState::Handover) {
        return std::min(interval, handoverProbeInterval);
    }
    const bool idle = view.state == GroupState::Active && repair_.settled()
                      && !repair_.canRebalance() && !propagation_;
    return idle && member.announcement.endpoint != view.primary
               ? settledProbeIntervalFactor * interval
               : interval;
}

void GroupController::probe(const GroupRecord &group, Instant now)
{
    for (const auto &member : group.view.members) {
        auto &probe = context_.probes.at(member.announcement.endpoint, now);
        const auto interval = probeInterval(group, member);
        probe.nextProbe = std::min(probe.nextProbe, now + interval);
        if (probe.callPending || now < probe.nextProbe) {
            continue;
        }
        probe.callPending = true;
        probe.nextProbe = now + interval;
        context_.outbox.call(member, StatusCall{}, context_.settings.lease.callTimeout, now);
    }
}

void GroupController::makeMembersFollow(const GroupView &view, Instant now)
{
    const auto *primary = findMember(view, view.primary);
    for (const auto &member : view.members) {
        const auto &name = member.announcement.endpoint;
        const auto *probe = context_.probes.find(name);
        if (name == view.primary || probe == nullptr) {
            continue;
        }
        const auto sent = followSentAt_.find(name);
        const bool sentBefore = sent != followSentAt_.end();
        const bool outdated =
            probe->reachable && probe->requestSentAt > servingSince_
            && (probe->status->role != "replica" || probe->status->term != view.term
                || probe->status->primary != view.primary);
        const bool due = !sentBefore || now >= sent->second + context_.settings.lease.probeInterval;
        if ((followAllPending_ && !sentBefore) || (outdated && due)) {
            followSentAt_[name] = now;
            context_.outbox.call(member,
                                 FollowCall{view.term, view.primary, primary->announcement.address},
                                 context_.settings.lease.callTimeout, now);
        }
    }
    followAllPending_ = false;
}

void GroupController::handleCallSuccess(const PendingCall &call,
                                        const EndpointCallResponse &response, Instant now)
{
    if (election_) {
        election_->handleCallSuccess(call, response, now);
    }
    repair_.handleCallSuccess(call);
    step(now);
}

void GroupController::handleCallFailure(const PendingCall &call, const Error &error, Instant now)
{
    if (election_) {
        election_->handleCallFailure(call, context_, error, now);
    }
    repair_.handleCallFailure(call, context_, now);
    step(now);
}

} // namespace hyssoprock
