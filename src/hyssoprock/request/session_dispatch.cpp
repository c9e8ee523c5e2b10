#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

using Target = RoutingDecision::Target;

/// Interval of routing attempts while no endpoint is available; a view change triggers one at once.
constexpr Duration routingRetryInterval = std::chrono::milliseconds{20};

} // namespace

Instant SessionMachine::queueLimit() const
{
    return request_->arrivedAt
           + (request_->waitsForElection
                  ? std::max(settings_.electionDeadline, settings_.queueDeadline)
                  : settings_.queueDeadline);
}

bool SessionMachine::isCutOff() const
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
        return; // The daemon enforces the deadline and always answers.
    }
    if (now_ >= queueLimit()) {
        loseTransaction(request.lastRefusal, true);
        answerNotRun(request.lastRefusal, "deadline reached while waiting", false);
        return;
    }
    if (request.retryAt && now_ < *request.retryAt) {
        return;
    }
    request.retryAt.reset();
    if (transaction_) {
        dispatchInTransaction();
        return;
    }
    request.requirements.floor = floor_.establishedPosition(group_);
    auto decision = request.machine.traits().readOnly
                        ? tables_.router.routeRead(request.requirements, now_)
                        : tables_.router.routeWrite(group_, now_);
    if (decision.target == Target::Primary && request.fencedTerm
        && decision.term <= *request.fencedTerm) {
        decision.target = Target::Refuse;
        decision.refusal = ErrorKind::NoPrimary;
    }
    applyDecision(decision);
}

void SessionMachine::dispatchInTransaction()
{
    check(link_.has_value(), "an open transaction has a connection");
    const auto &views = tables_.views;
    if (link_->primary && views.isTermSuperseded(group_, link_->term)) {
        loseTransaction(ErrorKind::EndpointLost, true);
        answerNotRun(ErrorKind::EndpointLost, "the group's primary has changed", true);
        return;
    }
    if (link_->primary && !views.mayAcknowledge(group_, link_->endpoint, link_->term, now_)) {
        request_->lastRefusal = ErrorKind::NoLease;
        request_->retryAt = now_ + routingRetryInterval;
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

void SessionMachine::applyDecision(const RoutingDecision &decision)
{
    auto &request = *request_;
    request.decision = decision;
    switch (decision.target) {
    case Target::Wait:
        request.retryAt = decision.retryAt;
        return;
    case Target::Refuse:
        request.lastRefusal = decision.refusal;
        request.waitsForElection =
            request.waitsForElection || decision.refusal == ErrorKind::NoPrimary;
        request.retryAt = now_ + routingRetryInterval;
        if (decision.refusal == ErrorKind::UnknownGroup) {
            answerNotRun(decision.refusal, group_, false);
        } else if (isCutOff()) {
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
    // A request rejected by a fenced primary is not a retry for the budget: it is sent only once in
    // each term and adds no load.
    const bool retry = request.attempts > 0 && !request.fencedTerm;
    actions_.emplace_back(AcquireConnection{id, decision.endpoint, purpose, queueLimit(), retry});
}

/// Whether the endpoint of the routing decision may still be used. The connection may be granted
/// long after the decision, when the endpoint is leaving or is the primary of an earlier term.
bool SessionMachine::isTargetUsable() const
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

void SessionMachine::handle(const ConnectionGranted &event)
{
    const bool wanted = request_ != nullptr && request_->acquire == event.acquire;
    if (!wanted) {
        actions_.emplace_back(ReleaseConnection{event.connection, true, event.schemaVersions});
        return;
    }
    request_->acquire.reset();
    if (!isTargetUsable()) {
        actions_.emplace_back(ReleaseConnection{event.connection, true, event.schemaVersions});
        advance();
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
    tables_.endpoints.recordAcquired(link_->endpoint);
    if (request_->settlement) {
        sendOnLink(LookUpRequestId{request_->settlementRequestId});
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

void SessionMachine::handle(const ConnectionRefused &event)
{
    if (request_ == nullptr || request_->acquire != event.acquire) {
        return;
    }
    auto &request = *request_;
    request.acquire.reset();
    request.lastRefusal = event.kind;
    logDecision("no connection to " + request.decision.endpoint, toString(event.kind));
    if (request.settlement) {
        request.retryAt = now_ + backoff();
        return;
    }
    const bool tooManyRetries = event.kind == ErrorKind::RetryBudgetExhausted;
    const bool replica = request.decision.target == Target::Replica;
    if (replica && !tooManyRetries && request.attempts < settings_.readAttemptsMax) {
        ++request.attempts;
        request.requirements.excluded.push_back(request.decision.endpoint);
        dispatch();
    } else if (event.kind == ErrorKind::Unreachable && now_ < queueLimit()) {
        // Nothing was sent. An unreachable primary is replaced by an election, so wait for it.
        request.waitsForElection = true;
        request.retryAt = now_ + backoff();
    } else {
        const auto kind = guaranteesNotRun(event.kind) ? event.kind : ErrorKind::DeadlineExceeded;
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
        known.reportSentAt ? std::optional{known.report.position} : std::optional<LogPosition>{};
    const auto position = primary ? request.incompletePosition : replicaPosition;
    const auto choice = chooseSchema(*rule, request.requirements.understands, position);
    if (choice.has_value()) {
        request.choice = choice.value();
        return {};
    }
    if (request.statement.kind == StatementKind::Read) {
        return choice.error();
    }
    // A write may return no rows. If it does, only the version that it writes is requested.
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
    if (request.insertRequestId) {
        command.requestId = request.attributes.requestId;
    }
    command.wrapInTransaction = request.wrapInTransaction;
    command.atomic = isAtomic();
    link_->hasSessionState = link_->hasSessionState || request.properties.altersConnection;
    if (transaction_) {
        transaction_->requestIdReliable =
            transaction_->requestIdReliable && !request.properties.usesSavepoints;
        if (request.insertRequestId) {
            transaction_->requestId = request.attributes.requestId;
        }
    }
    request.connectionEnded = false;
    request.settlementRequestId =
        transaction_ ? transaction_->requestId : request.attributes.requestId;
    request.requestIdReliable = !transaction_ || transaction_->requestIdReliable;
    request.machine.markSent();
    ++request.attempts;
    request.newestSentTerm = std::max(request.newestSentTerm, link_->term);
    request.sentTo = link_->endpoint;
    sendOnLink(std::move(command));
}

/// Whether the request commits nothing before its last statement.
bool SessionMachine::isAtomic() const noexcept
{
    return request_->wrapInTransaction || opensTransaction(request_->statement.kind)
           || !request_->properties.mayCommit;
}

void SessionMachine::sendOnLink(RequestCommand command)
{
    const SendId id{nextSend_++};
    link_->outstandingSend = id;
    link_->sentAt = now_;
    link_->leaseValidAtSend = tables_.views.leaseValid(now_);
    request_->statementDeadline = now_ + settings_.statementTimeout;
    actions_.emplace_back(SendCommand{link_->id, id, std::move(command)});
}

void SessionMachine::releaseLink(bool reusable)
{
    tables_.endpoints.recordReleased(link_->endpoint);
    const bool clean = reusable && !link_->hasSessionState && !link_->outstandingSend;
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
