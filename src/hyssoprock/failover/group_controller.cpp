#include <hyssoprock/failover/group_controller.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace hyssoprock {

namespace {

/// A command that has not been committed after this time is proposed again. The catalogue refuses
/// the second of two equal commands, so the time only has to exceed an ordinary commit.
constexpr Duration proposalRetry = std::chrono::milliseconds{1000};

/// Interval of status calls to the two endpoints of a handover, whose hosts hold work meanwhile.
constexpr Duration handoverProbeInterval = std::chrono::milliseconds{20};

/// Replicas of a settled group are asked this many times more rarely than primaries.
constexpr int settledProbeFactor = 4;

std::string shares(const FailoverReport &report)
{
    const auto part = [](const char *name, Duration share) {
        return std::string{", "} + name + " " + std::to_string(toMilliseconds(share)) + " ms";
    };
    return "total " + std::to_string(toMilliseconds(report.total())) + " ms"
           + part("detection", report.detection) + part("earlier terms", report.earlierTerms)
           + part("consensus", report.consensus) + part("fencing", report.fencing)
           + part("leases", report.leaseWait) + part("promotion", report.promotion)
           + part("propagation", report.propagation);
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
    return proposal_ && now < proposal_->at + proposalRetry;
}

void GroupController::propose(CatalogCommand command, Instant now)
{
    if (proposalPending(now)) {
        return;
    }
    if (const auto *begin = std::get_if<BeginTerm>(&command.body); begin != nullptr) {
        if (!disruption_) {
            disrupt("election of an earlier leader", std::nullopt, now);
        }
        const bool again = proposal_ && proposal_->command == command;
        disruption_->lastDecision = again ? disruption_->lastDecision : now;
        disruption_->terms += again ? 0 : 1;
    }
    proposal_ = Proposal{command, now};
    context_.outbox.add(ProposeCommand{std::move(command)});
}

void GroupController::disrupt(std::string reason, std::optional<Instant> lastAnswer, Instant now)
{
    if (!disruption_) {
        disruption_ = Disruption{std::move(reason), lastAnswer, now, now, now, 0};
    }
}

void GroupController::committed(const CatalogCommand &command, bool changed, Instant now)
{
    const bool ours = proposal_ && proposal_->command == command;
    if (ours) {
        proposal_.reset();
    }
    if (changed) {
        observe(false, now);
    }
    if (changed || ours) {
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
    } else if (seenState_ != GroupState::Handover && !first) {
        handover_.begun(view, now);
    }
    seenState_ = view.state;
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
        // An earlier leader chose this primary and may have promoted it; its own term ends here.
        election_.reset();
        return;
    }
    preferred_ = handover_.successor();
    disrupt("election of an earlier leader", std::nullopt, now);
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
                           - disruption_->lastAnswer.value_or(disruption_->firstDecision);
        report.earlierTerms = disruption_->lastDecision - disruption_->firstDecision;
        report.consensus = disruption_->begunAt - disruption_->lastDecision;
    }
    election_->addShares(report, now);
    propagation_.emplace(Propagation{report, ViewWait{context_.leases, view.version, now}, now});
    repair_.promoted(view.term, group.voterVersion);
    election_.reset();
    disruption_.reset();
    preferred_.clear();
    followSentAt_.clear();
    tellAll_ = true;
    servingSince_ = now;
    lastServing_ = now;
}

void GroupController::reportPropagation(bool interrupted, Instant now)
{
    auto report = propagation_->report;
    report.propagation = now - propagation_->since;
    context_.outbox.log(group_ + ": " + report.endpoint + " is primary in term "
                        + std::to_string(report.term) + " (" + report.reason + "; " + shares(report)
                        + (interrupted ? "; lost again)" : ")"));
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
        context_.urgent.insert(group_);
    } else {
        context_.urgent.erase(group_);
    }
}

void GroupController::stepForming(const GroupRecord &group, Instant now)
{
    const auto wanted = declaredInstances(context_.catalog, group_);
    const auto active =
        std::count_if(group.view.members.begin(), group.view.members.end(),
                      [](const Member &member) { return member.state == EndpointState::Active; });
    if (wanted > 0 && std::cmp_greater_equal(active, wanted)
        && now >= context_.leases.quietUntil()) {
        disrupt("first primary of the group", std::nullopt, now);
        propose(CatalogCommand{BeginTerm{group_, group.view.term + 1}}, now);
    }
}

void GroupController::stepElecting(const GroupRecord &group, Instant now)
{
    if (!election_) {
        if (now >= context_.leases.quietUntil()) {
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
    if (now < context_.leases.quietUntil() || startIfPrimaryFailed(view, now)) {
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
            disrupt("planned stop of " + view.primary, handover_.begunAt(), now);
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

std::optional<FailureVerdict> GroupController::judge(const std::string &endpoint, Instant now) const
{
    if (!context_.evidence.suspects(endpoint, now)) {
        return std::nullopt;
    }
    const HostLocation leader{context_.settings.host, context_.settings.dataCentre};
    return context_.evidence.judge(endpoint, context_.leases, leader, now);
}

bool GroupController::startIfPrimaryFailed(const GroupView &view, Instant now)
{
    const auto verdict = judge(view.primary, now);
    const auto *probe = context_.endpoints.find(view.primary);
    const bool answers = probe != nullptr && probe->report && probe->askedAt > servingSince_;
    const bool serves =
        answers && probe->report->role == "primary" && probe->report->term == view.term;
    if (serves) {
        lastServing_ = probe->answeredAt;
    }
    if (verdict) {
        disrupt(view.primary + " " + verdict->reason, verdict->lastAnswer, now);
    } else if (answers && !serves) {
        disrupt(view.primary + " restarted or lost its role", lastServing_, now);
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
    const bool calm = view.state == GroupState::Active && repair_.settled()
                      && !repair_.mayMoveVoter() && !propagation_;
    return calm && member.announcement.endpoint != view.primary ? settledProbeFactor * interval
                                                                : interval;
}

void GroupController::probe(const GroupRecord &group, Instant now)
{
    for (const auto &member : group.view.members) {
        auto &probe = context_.endpoints.at(member.announcement.endpoint, now);
        const auto interval = probeInterval(group, member);
        probe.nextProbe = std::min(probe.nextProbe, now + interval);
        if (probe.open || now < probe.nextProbe) {
            continue;
        }
        probe.open = true;
        probe.nextProbe = now + interval;
        context_.outbox.call(member, StatusCall{}, context_.settings.lease.callTimeout, now);
    }
}

void GroupController::makeMembersFollow(const GroupView &view, Instant now)
{
    const auto *primary = findMember(view, view.primary);
    for (const auto &member : view.members) {
        const auto &name = member.announcement.endpoint;
        const auto *probe = context_.endpoints.find(name);
        if (name == view.primary || probe == nullptr) {
            continue;
        }
        const auto sent = followSentAt_.find(name);
        const bool told = sent != followSentAt_.end();
        const bool strays = probe->reachable && probe->askedAt > servingSince_
                            && (probe->report->role != "replica" || probe->report->term != view.term
                                || probe->report->primary != view.primary);
        const bool due = !told || now >= sent->second + context_.settings.lease.probeInterval;
        if ((tellAll_ && !told) || (strays && due)) {
            followSentAt_[name] = now;
            context_.outbox.call(member,
                                 FollowCall{view.term, view.primary, primary->announcement.address},
                                 context_.settings.lease.callTimeout, now);
        }
    }
    tellAll_ = false;
}

void GroupController::answered(const OpenCall &call, const EndpointCallResponse &report,
                               Instant now)
{
    if (election_) {
        election_->answered(call, report, now);
    }
    repair_.answered(call);
    step(now);
}

void GroupController::failed(const OpenCall &call, const Error &error, Instant now)
{
    if (election_) {
        election_->failed(call, context_, error, now);
    }
    repair_.failed(call, context_, now);
    step(now);
}

} // namespace hyssoprock
