#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

using Target = RoutingDecision::Target;

/// Interval of new attempts while no endpoint can be chosen; view changes trigger one at once.
constexpr Duration refusedStep = std::chrono::milliseconds{20};

} // namespace

Instant SessionMachine::queueLimit() const
{
    return request_->arrived
           + (request_->patient ? std::max(settings_.electionDeadline, settings_.queueDeadline)
                                : settings_.queueDeadline);
}

bool SessionMachine::cutOff() const
{
    const auto until = tables_.views.leaseUntil();
    return until && now_ >= *until + settings_.leaseGracePeriod;
}

void SessionMachine::logDecision(std::string_view what, std::string_view reason)
{
    if (settings_.logDecisions) {
        actions_.emplace_back(LogLine{"[route] session " + std::to_string(session_) + " request "
                                      + std::to_string(request_->id) + ": " + std::string{what}
                                      + ", " + std::string{reason}});
    }
}

void SessionMachine::dispatch()
{
    auto &request = *request_;
    if (request.acquire) {
        return; // The daemon keeps the deadline and answers in any case.
    }
    if (now_ >= queueLimit()) {
        loseTransaction(request.lastRefusal, true);
        answerNotRun(request.lastRefusal, "deadline reached while waiting", false);
        return;
    }
    if (request.notBefore && now_ < *request.notBefore) {
        return;
    }
    request.notBefore.reset();
    if (transaction_) {
        dispatchInTransaction();
        return;
    }
    request.requirements.floor = floor_.known(group_);
    auto decision = request.machine.traits().readOnly
                        ? tables_.router.routeRead(request.requirements, now_)
                        : tables_.router.routeWrite(group_, now_);
    if (decision.target == Target::Primary && request.fencedTerm
        && decision.term <= *request.fencedTerm) {
        decision.target = Target::Refuse;
        decision.refusal = ErrorKind::NoPrimary;
    }
    followDecision(decision);
}

void SessionMachine::dispatchInTransaction()
{
    check(link_.has_value(), "an open transaction has a connection");
    const auto &views = tables_.views;
    if (link_->primary && views.termOver(group_, link_->term)) {
        loseTransaction(ErrorKind::EndpointLost, true);
        answerNotRun(ErrorKind::EndpointLost, "the group's primary has changed", true);
        return;
    }
    if (link_->primary && !views.mayAcknowledge(group_, link_->endpoint, link_->term, now_)) {
        request_->lastRefusal = ErrorKind::NoLease;
        request_->notBefore = now_ + refusedStep;
        return;
    }
    if (const auto error = chooseVersions(link_->primary, link_->endpoint);
        error.kind != ErrorKind::None) {
        loseTransaction(error.kind, true);
        answerNotRun(error.kind, error.detail, true);
        return;
    }
    send();
}

void SessionMachine::followDecision(const RoutingDecision &decision)
{
    auto &request = *request_;
    request.decision = decision;
    switch (decision.target) {
    case Target::Wait:
        request.notBefore = decision.retryAt;
        return;
    case Target::Refuse:
        request.lastRefusal = decision.refusal;
        request.patient = request.patient || decision.refusal == ErrorKind::NoPrimary;
        request.notBefore = now_ + refusedStep;
        if (decision.refusal == ErrorKind::UnknownGroup) {
            answerNotRun(decision.refusal, group_, false);
        } else if (cutOff()) {
            answerNotRun(decision.refusal, "cut off from the control group", false);
        }
        return;
    case Target::Primary:
    case Target::Replica:
        break;
    }
    const bool primary = decision.target == Target::Primary;
    logDecision((primary ? "primary " : "replica ") + decision.endpoint, decision.reason);
    const AcquireId id{nextAcquire_++};
    request.acquire = id;
    request.lastRefusal = ErrorKind::DeadlineExceeded;
    const auto purpose =
        request.machine.traits().readOnly ? ConnectionPurpose::Read : ConnectionPurpose::Write;
    // Work that a fenced primary has refused does not add load: it goes out once in each term.
    const bool retry = request.attempts > 0 && !request.fencedTerm;
    actions_.emplace_back(AcquireConnection{id, decision.endpoint, purpose, queueLimit(), retry});
}

/// A connection may be granted long after the decision: an endpoint that leaves, or a primary of
/// an earlier term, gets no new work.
bool SessionMachine::stillUsable() const
{
    const auto &decision = request_->decision;
    if (request_->settlement || decision.target == Target::Primary) {
        const auto primary = tables_.views.primary(group_, now_);
        return primary.kind == ErrorKind::None && primary.endpoint == decision.endpoint
               && primary.term == decision.term;
    }
    const auto *view = tables_.views.view(group_);
    if (view == nullptr || view->primary == decision.endpoint
        || tables_.endpoints.find(decision.endpoint).ejected) {
        return false;
    }
    return std::any_of(view->members.begin(), view->members.end(), [&](const Member &member) {
        return member.announcement.endpoint == decision.endpoint
               && member.state == EndpointState::Active;
    });
}

void SessionMachine::onEvent(const ConnectionGranted &event)
{
    const bool wanted = request_ != nullptr && request_->acquire == event.acquire;
    if (!wanted) {
        actions_.emplace_back(ReleaseConnection{event.connection, true, event.schemaVersions});
        return;
    }
    request_->acquire.reset();
    if (!stillUsable()) {
        actions_.emplace_back(ReleaseConnection{event.connection, true, event.schemaVersions});
        progress();
        return;
    }
    check(!link_, "a session holds one connection at a time");
    link_.emplace();
    link_->id = event.connection;
    link_->endpoint = request_->decision.endpoint;
    link_->term = request_->decision.term;
    link_->primary =
        request_->settlement.has_value() || request_->decision.target == Target::Primary;
    link_->schemaVersions = event.schemaVersions;
    tables_.endpoints.started(link_->endpoint);
    if (request_->settlement) {
        sendOnLink(LookUpRequestId{request_->settleId});
        return;
    }
    if (now_ >= queueLimit()) {
        releaseLink(true);
        answerNotRun(ErrorKind::DeadlineExceeded, {}, false);
        return;
    }
    if (const auto error = chooseVersions(link_->primary, link_->endpoint);
        error.kind != ErrorKind::None) {
        releaseLink(true);
        answerNotRun(error.kind, error.detail, false);
        return;
    }
    send();
}

void SessionMachine::onEvent(const ConnectionRefused &event)
{
    if (request_ == nullptr || request_->acquire != event.acquire) {
        return;
    }
    auto &request = *request_;
    request.acquire.reset();
    request.lastRefusal = event.kind;
    logDecision("no connection to " + request.decision.endpoint, toString(event.kind));
    if (request.settlement) {
        request.notBefore = now_ + backoff();
        return;
    }
    const bool tooManyRetries = event.kind == ErrorKind::RetryBudgetExhausted;
    const bool replica = request.decision.target == Target::Replica;
    if (replica && !tooManyRetries && request.attempts < settings_.readAttemptsMax) {
        ++request.attempts;
        request.requirements.excluded.push_back(request.decision.endpoint);
        dispatch();
    } else if (event.kind == ErrorKind::Unreachable && now_ < queueLimit()) {
        // Nothing was sent. An unreachable primary will be replaced, so wait for the next one.
        request.patient = true;
        request.notBefore = now_ + backoff();
    } else {
        const auto kind = saysNotRun(event.kind) ? event.kind : ErrorKind::DeadlineExceeded;
        answerNotRun(kind, event.detail, false);
    }
}

Error SessionMachine::chooseVersions(bool primary, const std::string &endpoint)
{
    auto &request = *request_;
    const auto *rule = request.requirements.rule;
    request.choice = {};
    request.checkVersions = false;
    if (rule == nullptr || rule->versions.empty() || !accessesData(request.statement.kind)) {
        return {};
    }
    request.checkVersions = true;
    const auto &known = tables_.endpoints.find(endpoint);
    const auto replicaPosition =
        known.reportSent ? std::optional{known.report.position} : std::optional<LogPosition>{};
    const auto position = primary ? request.incompleteAt : replicaPosition;
    const auto choice = chooseSchema(*rule, request.requirements.understands, position);
    if (choice.has_value()) {
        request.choice = choice.value();
        return {};
    }
    if (request.statement.kind == StatementKind::Read) {
        return choice.error();
    }
    // A write need not read; if it does, it gets the version that it writes and no other.
    if (request.attributes.writesVersion) {
        request.choice.versions = {*request.attributes.writesVersion};
    }
    return {};
}

void SessionMachine::send()
{
    auto &request = *request_;
    ForwardStatement command;
    command.statement = request.statement;
    const auto versions = toSetting(request.choice);
    if (accessesData(request.statement.kind) && link_->schemaVersions != versions) {
        command.schemaVersions = versions;
        link_->schemaVersions = versions;
    }
    if (request.insertId) {
        command.requestId = request.attributes.requestId;
    }
    command.wrapInTransaction = request.wrap;
    command.atomic = isAtomic();
    link_->dirty = link_->dirty || request.properties.altersConnection;
    if (transaction_) {
        transaction_->idReliable = transaction_->idReliable && !request.properties.usesSavepoints;
        if (request.insertId) {
            transaction_->requestId = request.attributes.requestId;
        }
    }
    request.connectionEnded = false;
    request.settleId = transaction_ ? transaction_->requestId : request.attributes.requestId;
    request.idReliable = !transaction_ || transaction_->idReliable;
    request.machine.sent();
    ++request.attempts;
    request.sentTerm = std::max(request.sentTerm, link_->term);
    request.sentTo = link_->endpoint;
    sendOnLink(std::move(command));
}

/// Whether the request commits nothing before its end.
bool SessionMachine::isAtomic() const noexcept
{
    return request_->wrap || opensTransaction(request_->statement.kind)
           || !request_->properties.mayCommit;
}

void SessionMachine::sendOnLink(RequestCommand command)
{
    const SendId id{nextSend_++};
    link_->outstanding = id;
    link_->sentAt = now_;
    link_->leaseAtSend = tables_.views.leaseValid(now_);
    request_->statementDeadline = now_ + settings_.statementTimeout;
    actions_.emplace_back(SendCommand{link_->id, id, std::move(command)});
}

void SessionMachine::releaseLink(bool reusable)
{
    tables_.endpoints.finished(link_->endpoint);
    const bool clean = reusable && !link_->dirty && !link_->outstanding;
    actions_.emplace_back(
        ReleaseConnection{link_->id, clean, clean ? link_->schemaVersions : std::string{}});
    link_.reset();
}

void SessionMachine::cancelAcquire()
{
    if (request_ != nullptr && request_->acquire) {
        actions_.emplace_back(CancelAcquire{*request_->acquire});
        request_->acquire.reset();
    }
}

} // namespace hyssoprock
