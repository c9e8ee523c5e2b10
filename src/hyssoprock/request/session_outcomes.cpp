#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/limits/exponential_step.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

constexpr std::uint32_t backoffDoublingsMax = 5;

/// Interval between look-ups of a request id until one is conclusive.
constexpr Duration lookUpInterval = std::chrono::milliseconds{100};

SqlError proxyError(ErrorKind kind, std::string_view detail)
{
    const auto &answer = describe(kind);
    std::string message{answer.text};
    if (!detail.empty()) {
        message += " (" + std::string{detail} + ")";
    }
    return {std::string{answer.state}, std::move(message), kind};
}

} // namespace

Duration SessionMachine::backoff()
{
    const auto longest =
        exponentialBackoff(settings_.initialRetryDelay, request_->attempts, backoffDoublingsMax);
    return random_.between(longest / 2, longest);
}

void SessionMachine::handle(const ConnectionLost &event)
{
    if (!link_ || link_->id != event.connection) {
        return;
    }
    tables_.endpoints.recordReleased(link_->endpoint);
    link_.reset();
    if (request_ == nullptr) {
        loseTransaction(ErrorKind::EndpointLost, false);
        return;
    }
    switch (request_->machine.state()) {
    case RequestState::Sent:
    case RequestState::AwaitingMajority:
        request_->connectionEnded = true;
        fail(ErrorKind::EndpointLost, "connection lost", true);
        break;
    case RequestState::Settling:
        request_->retryAt = now_ + lookUpInterval;
        break;
    case RequestState::Queued:
        loseTransaction(ErrorKind::EndpointLost, true);
        answerNotRun(ErrorKind::EndpointLost, "connection lost", true);
        break;
    case RequestState::Unknown:
    case RequestState::Answered:
        break;
    }
}

/// Closes the connection of a sent request and determines its outcome.
void SessionMachine::fail(ErrorKind kind, std::string_view detail, bool mayRetry)
{
    cancelMajorityWait();
    auto &request = *request_;
    const auto consequence = request.machine.failureConsequence();
    const auto &traits = request.machine.traits();
    if (link_) {
        releaseLink(false);
    }
    const auto notRunKind = guaranteesNotRun(kind) ? kind : ErrorKind::EndpointLost;
    switch (consequence) {
    case FailureConsequence::Retry:
        if (mayRetry && request.attempts < settings_.readAttemptsMax) {
            logDecision("sent again", detail);
            retry(false, !request.decision.endpoint.empty()
                             && request.decision.target == RoutingDecision::Target::Replica);
        } else if (traits.readOnly) {
            answerNotRun(notRunKind, detail, true);
        } else {
            answerUnknown(detail);
        }
        return;
    case FailureConsequence::NotRun:
        // The connection was closed before a commit was sent, so the endpoint rolls back.
        loseTransaction(notRunKind, true);
        answerNotRun(notRunKind, detail, true);
        return;
    case FailureConsequence::Settle:
        startSettling();
        return;
    case FailureConsequence::Unknown:
        answerUnknown(detail);
        return;
    }
}

void SessionMachine::retry(bool provenNotRun, bool excludeEndpoint)
{
    auto &request = *request_;
    // If the request opened the transaction, it no longer exists.
    transaction_.reset();
    request.machine.markRequeued(provenNotRun);
    request.answer.reset();
    request.part.reset();
    request.statementDeadline.reset();
    request.ackDeadline.reset();
    if (excludeEndpoint) {
        request.requirements.excluded.push_back(request.decision.endpoint);
    } else {
        request.waitsForElection = true;
        request.retryAt = now_ + backoff();
    }
    dispatch();
}

/// Marks the transaction as rolled back by closing its connection.
void SessionMachine::loseTransaction(ErrorKind kind, bool reported)
{
    if (!transaction_) {
        return;
    }
    if (link_) {
        releaseLink(false);
    }
    transaction_->lost = true;
    transaction_->lossKind = guaranteesNotRun(kind) ? kind : ErrorKind::EndpointLost;
    transaction_->lossReported = reported;
}

void SessionMachine::answerNotRun(ErrorKind kind, std::string_view detail, bool provenNotRun)
{
    const auto effective = guaranteesNotRun(kind) ? kind : ErrorKind::DeadlineExceeded;
    if (request_ != nullptr) {
        if (!provenNotRun && request_->machine.mayHaveRun()
            && !request_->machine.traits().readOnly) {
            answerUnknown(detail);
            return;
        }
        cancelAcquire();
        request_->machine.markAnswered(true, provenNotRun);
    }
    finish({}, proxyError(effective, detail));
}

void SessionMachine::answerUnknown(std::string_view detail)
{
    auto &request = *request_;
    cancelMajorityWait();
    cancelAcquire();
    if (link_) {
        releaseLink(false);
    }
    // Replicas may or may not receive the write, so the next read must use the primary.
    if (request.answer && request.fromPrimary) {
        floor_.raise(group_, request.answer->report.position);
    }
    floor_.invalidate(group_);
    if (transaction_ && request.statement.kind == StatementKind::Commit) {
        transaction_.reset();
    } else {
        loseTransaction(ErrorKind::EndpointLost, true);
    }
    request.machine.markOutcomeUnknown();
    logDecision("outcome unknown", detail);
    finish({}, proxyError(ErrorKind::OutcomeUnknown, detail));
}

void SessionMachine::startSettling()
{
    auto &request = *request_;
    request.machine.markSettling();
    request.settlement.emplace();
    request.settlement->term = request.newestSentTerm;
    request.settlement->deadline = now_ + settings_.settleTimeout;

    request.part.reset();
    logDecision("outcome unknown", "looking the request id up");
    settle();
}

void SessionMachine::settle()
{
    auto &request = *request_;
    auto &settlement = *request.settlement;
    if (now_ >= settlement.deadline) {
        answerUnknown("the request id could not be looked up in time");
        return;
    }
    if (link_ && request.statementDeadline && now_ >= *request.statementDeadline) {
        releaseLink(false);
    }
    if (settlement.position) {
        evaluateLookUp();
        return;
    }
    if (link_ || request.acquire || (request.retryAt && now_ < *request.retryAt)) {
        return;
    }
    request.retryAt = now_ + lookUpInterval;
    const auto decision = tables_.router.routeWrite(group_, now_);
    if (decision.target != RoutingDecision::Target::Primary) {
        return;
    }
    request.decision = decision;
    const AcquireId id{nextAcquire_++};
    request.acquire = id;
    actions_.emplace_back(AcquireConnection{id, decision.endpoint, ConnectionPurpose::Settle,
                                            settlement.deadline, false});
}

void SessionMachine::handleLookUp(const EndpointAnswer &answer)
{
    auto &settlement = *request_->settlement;
    const auto &position = answer.report.position;
    const auto endpoint = link_->endpoint;
    if (answer.error) {
        link_->schemaVersions = internal::unknownSchemaVersions;
    }
    releaseLink(answer.status == TransactionState::Idle);
    request_->retryAt = now_ + lookUpInterval;
    const bool usable = answer.requestIdFound && answer.report.role == EndpointRole::Primary
                        && position.term >= settlement.term;
    if (!usable) {
        return;
    }
    const bool found = *answer.requestIdFound;
    if (!found && !missingIdIsConclusive(position.term, endpoint)) {
        return;
    }
    settlement.found = found;
    settlement.position = position;
    settlement.endpoint = endpoint;
    evaluateLookUp();
}

/// Whether a request whose id is missing can no longer be committed. In its own term it still can.
/// A later term fences the old primary, but the same endpoint may be elected again and then run a
/// request that it had not yet read from a connection that this host closed.
bool SessionMachine::missingIdIsConclusive(std::uint64_t term, const std::string &endpoint) const
{
    const auto &request = *request_;
    if (term <= request.settlement->term || !request.requestIdReliable) {
        return false;
    }
    const bool nothingUnread = request.answer || request.connectionEnded;
    return settings_.fencingClosesConnections || (nothingUnread && endpoint != request.sentTo);
}

/// Completes the look-up once a majority holds its position. Before that, a later election could
/// restore a log with the opposite result.
void SessionMachine::evaluateLookUp()
{
    auto &settlement = *request_->settlement;
    const auto position = *settlement.position;
    const auto &views = tables_.views;
    if (views.isTermSuperseded(group_, position.term)) {
        cancelMajorityWait();
        settlement.position.reset();
        settle();
        return;
    }
    if (!views.mayAcknowledge(group_, settlement.endpoint, position.term, now_)
        || !tables_.acks.isHeldByMajority(group_, position)) {
        waitForMajority(position, settlement.endpoint, true, settlement.deadline);
        return;
    }
    cancelMajorityWait();
    floor_.establish(group_, position);
    const bool found = settlement.found;
    transaction_.reset();
    if (!found) {
        logDecision("settled", "not run");
        answerNotRun(ErrorKind::EndpointLost, "looked up by request id", true);
        return;
    }
    logDecision("settled", "done");
    std::vector<StatementResult> results;
    if (request_->answer) {
        results = std::move(request_->answer->results);
    } else {
        StatementResult committed;
        committed.kind = ResultKind::Commit;
        results.push_back(std::move(committed));
    }
    finish(std::move(results), std::nullopt);
}

void SessionMachine::finish(std::vector<StatementResult> results, std::optional<SqlError> error)
{
    if (request_ != nullptr) {
        auto &machine = request_->machine;
        if (machine.state() != RequestState::Answered && machine.state() != RequestState::Unknown) {
            machine.markAnswered(false, false);
        }
        check(!request_->acquire && !request_->awaitingMajority,
              "a finished request waits for nothing");
        request_.reset();
    }
    check(transaction_.has_value() || !link_, "a connection is kept for a transaction only");
    const auto status = transactionStatus();
    reportToken();
    actions_.emplace_back(AnswerCaller{std::move(results), std::move(error), status});
    if (leaving_ && !transaction_) {
        closed_ = true;
        actions_.emplace_back(CloseCaller{ErrorKind::HostLeaving});
    }
}

void SessionMachine::reportToken()
{
    if (floor_ != reportedFloor_) {
        reportedFloor_ = floor_;
        actions_.emplace_back(ReportToken{tokens_.encode(floor_)});
    }
}

} // namespace hyssoprock
