#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

/// Whether each schema_version value of a result is one of the requested versions.
bool hasOnlyRequestedVersions(const StatementResult &result,
                              const std::vector<std::uint32_t> &versions)
{
    const auto column = std::find_if(
        result.columns.begin(), result.columns.end(),
        [](const ResultColumn &candidate) { return candidate.name == "schema_version"; });
    if (column == result.columns.end()) {
        return true;
    }
    const auto place = static_cast<std::size_t>(column - result.columns.begin());
    return std::all_of(result.rows.begin(), result.rows.end(), [&](const ResultRow &row) {
        return place < row.size() && row[place]
               && std::any_of(versions.begin(), versions.end(), [&](std::uint32_t version) {
                      return std::to_string(version) == *row[place];
                  });
    });
}

/// Whether an answer contains neither data nor the commit of a change, so that its log position is
/// irrelevant.
bool hasNoData(const std::vector<StatementResult> &results, bool fromPrimary)
{
    return std::all_of(results.begin(), results.end(), [&](const StatementResult &result) {
        return result.columns.empty()
               && (result.kind == ResultKind::Begin || result.kind == ResultKind::Rollback
                   || (result.kind == ResultKind::Commit && !fromPrimary));
    });
}

bool hasNoRows(const std::vector<StatementResult> &results)
{
    return std::all_of(results.begin(), results.end(),
                       [](const StatementResult &result) { return result.columns.empty(); });
}

} // namespace

void SessionMachine::handle(const EndpointAnswer &event)
{
    if (!link_ || link_->id != event.connection || link_->outstandingSend != event.send) {
        return; // Late answer to an abandoned request.
    }
    check(request_ != nullptr, "an answer belongs to a request");
    link_->outstandingSend.reset();
    tables_.recordReport(group_, link_->endpoint, event.report, link_->sentAt,
                         link_->leaseValidAtSend, now_);
    if (request_->settlement) {
        handleLookUp(event);
    } else if (event.error) {
        handleError(event);
    } else {
        handleSuccess(event);
    }
}

void SessionMachine::handleSuccess(const EndpointAnswer &event)
{
    auto &request = *request_;
    if (event.kind != AnswerKind::Success) {
        fail(ErrorKind::EndpointLost, "the endpoint's answer has an unexpected form", false);
        return;
    }
    auto answer = event;
    request.machine.markEndpointAnswered();
    if (answer.status == TransactionState::Idle) {
        request.machine.markTransactionEnded();
    }
    request.answeredBy = link_->endpoint;
    request.fromPrimary = link_->primary;
    request.newestSentTerm = std::max(request.newestSentTerm, answer.report.position.term);
    request.ackDeadline = now_ + settings_.majorityTimeout;
    request.answer = std::move(answer);
    updateTransaction(event);
    evaluateAnswer();
}

/// Keeps the connection while the endpoint reports an open transaction and releases it otherwise.
void SessionMachine::updateTransaction(const EndpointAnswer &answer)
{
    auto &request = *request_;
    if (answer.status == TransactionState::Idle) {
        if (transaction_ || answer.error) {
            link_->schemaVersions = internal::unknownSchemaVersions;
        }
        transaction_.reset();
        releaseLink(true);
        return;
    }
    if (!transaction_) {
        transaction_.emplace();
        transaction_->attributes = request.attributes;
        transaction_->configuration = request.configuration;
        if (request.insertRequestId && !answer.error) {
            transaction_->requestId = request.attributes.requestId;
        }
    } else if (request.properties.mixesTransactionControl) {
        transaction_->requestId.clear(); // The id may belong to an earlier transaction.
    }
    transaction_->failedByEndpoint = answer.status == TransactionState::Failed;
}

void SessionMachine::handleError(const EndpointAnswer &answer)
{
    auto &request = *request_;
    const auto &traits = request.machine.traits();
    if (provesNotRun(answer.kind) && !traits.inTransaction && !traits.readOnly
        && !request.machine.isStreaming()) {
        // The endpoint is no longer primary and ran nothing, so the next primary can run the
        // request.
        logDecision("endpoint " + link_->endpoint + " accepts no writes",
                    "waits for the next primary");
        request.fencedTerm = link_->term;
        link_->schemaVersions = internal::unknownSchemaVersions;
        releaseLink(answer.status == TransactionState::Idle);
        retry(true, false);
        return;
    }
    if (!isAtomic() && link_->primary) {
        floor_.raise(group_, answer.report.position);
    }
    // Results before an error may contain unchecked data and are dropped.
    if (request.wrapInTransaction && answer.status != TransactionState::Idle) {
        releaseLink(false);
    } else {
        updateTransaction(answer);
    }
    request.machine.markEndpointAnswered();
    finish({}, answer.error);
}

SessionMachine::Delivery SessionMachine::checkDelivery(const EndpointReport &report)
{
    auto &request = *request_;
    if (!request.fromPrimary) {
        auto needs = request.requirements;
        needs.floor = floor_.establishedPosition(group_);
        const auto verdict =
            tables_.router.checkReplicaAnswer(needs, request.choice.completeFrom, report, now_);
        if (verdict != AnswerVerdict::Accept) {
            logDecision("answer of " + request.answeredBy + " discarded", toString(verdict));
            return Delivery::Discard;
        }
        return tables_.acks.isHeldByMajority(group_, report.position) ? Delivery::Deliver
                                                                      : Delivery::Wait;
    }
    request.incompletePosition.reset();
    const auto &views = tables_.views;
    if (report.role != EndpointRole::Primary || views.isTermSuperseded(group_, report.position.term)
        || report.position < floor_.lowerBound(group_)) {
        logDecision("answer of " + request.answeredBy + " not acknowledged",
                    "it is not from the primary of the view's term");
        return Delivery::Discard;
    }
    if (report.position < request.choice.completeFrom) {
        logDecision("answer of " + request.answeredBy + " discarded",
                    toString(AnswerVerdict::Incomplete));
        request.incompletePosition = report.position;
        return Delivery::Discard;
    }
    const bool allowed =
        views.mayAcknowledge(group_, request.answeredBy, report.position.term, now_);
    return allowed && tables_.acks.isHeldByMajority(group_, report.position) ? Delivery::Deliver
                                                                             : Delivery::Wait;
}

/// Error kind of a discarded answer.
ErrorKind SessionMachine::discardKind() const noexcept
{
    if (!request_->fromPrimary) {
        return ErrorKind::AgeNotProven;
    }
    return request_->incompletePosition ? ErrorKind::VersionNotUnderstood : ErrorKind::EndpointLost;
}

void SessionMachine::evaluateAnswer()
{
    auto &request = *request_;
    auto &answer = *request.answer;
    const auto &results = answer.results;
    if (request.checkVersions
        && !std::all_of(results.begin(), results.end(), [&](const StatementResult &result) {
               return hasOnlyRequestedVersions(result, request.choice.versions);
           })) {
        withholdAnswer();
        return;
    }
    if (hasNoRows(results)) {
        request.choice
            .completeFrom = {}; // Only rows can be incomplete, so a change has no minimum position.
    }
    // A change in an open transaction takes effect with the commit, which is checked separately.
    const bool uncommitted = transaction_ && request.machine.traits().inTransaction && link_
                             && request.fromPrimary && hasNoRows(results)
                             && !request.properties.mayCommit
                             && !tables_.views.isTermSuperseded(group_, link_->term);
    if (uncommitted || hasNoData(results, request.fromPrimary)) {
        cancelMajorityWait();
        auto delivered = std::move(answer.results);
        finish(std::move(delivered), std::nullopt);
        return;
    }
    switch (checkDelivery(answer.report)) {
    case Delivery::Deliver: {
        cancelMajorityWait();
        if (request.fromPrimary) {
            floor_.establish(group_, answer.report.position);
        } else {
            floor_.raise(group_, answer.report.position);
        }
        auto delivered = std::move(answer.results);
        finish(std::move(delivered), std::nullopt);
        return;
    }
    case Delivery::Discard:
        cancelMajorityWait();
        fail(discardKind(), "the answer cannot be delivered", true);
        return;
    case Delivery::Wait:
        if (now_ >= *request.ackDeadline) {
            cancelMajorityWait();
            fail(ErrorKind::DeadlineExceeded, "no majority holds the answer's position in time",
                 !request.fromPrimary);
            return;
        }
        waitForMajority(answer.report.position, request.answeredBy, request.fromPrimary,
                        *request.ackDeadline);
        return;
    }
}

void SessionMachine::handle(const AnswerPart &event)
{
    if (!link_ || link_->id != event.connection || link_->outstandingSend != event.send) {
        return;
    }
    auto &request = *request_;
    if (request.settlement || event.fromProxy) {
        actions_.emplace_back(ContinueReading{link_->id});
        return;
    }
    if (!request.machine.isStreaming()) {
        tables_.recordReport(group_, link_->endpoint, event.report, link_->sentAt,
                             link_->leaseValidAtSend, now_);
        request.answeredBy = link_->endpoint;
        request.fromPrimary = link_->primary;
        request.ackDeadline = now_ + settings_.majorityTimeout;
    }
    request.part = event;
    forwardRows();
}

/// Forwards rows before the answer is complete, under the same rules as for a complete answer.
void SessionMachine::forwardRows()
{
    auto &request = *request_;
    const auto &part = *request.part;
    if (request.checkVersions && !hasOnlyRequestedVersions(part.result, request.choice.versions)) {
        withholdAnswer();
        return;
    }
    const auto delivery = checkDelivery(part.report);
    if (delivery == Delivery::Wait && now_ < *request.ackDeadline) {
        waitForMajority(part.report.position, request.answeredBy, request.fromPrimary,
                        *request.ackDeadline);
        return;
    }
    cancelMajorityWait();
    if (delivery != Delivery::Deliver) {
        fail(discardKind(), "the answer cannot be delivered", true);
        return;
    }
    if (!request.machine.isStreaming()) {
        logDecision("answer of " + request.answeredBy + " streamed", "over the buffer limit");
        request.machine.markStreaming();
        floor_.raise(group_, part.report.position);
    }
    actions_.emplace_back(ForwardRows{part.result, part.statementIndex});
    actions_.emplace_back(ContinueReading{link_->id});
    request.ackDeadline = now_ + settings_.majorityTimeout;
    request.part.reset();
}

void SessionMachine::waitForMajority(const LogPosition &position, std::string endpoint,
                                     bool fromPrimary, Instant deadline)
{
    if (!request_->awaitingMajority) {
        request_->awaitingMajority = true;
        tables_.acks.add({session_, request_->id, group_, std::move(endpoint), position,
                          fromPrimary, now_, deadline});
    }
}

void SessionMachine::cancelMajorityWait()
{
    if (request_ != nullptr && request_->awaitingMajority) {
        request_->awaitingMajority = false;
        tables_.acks.remove(session_, request_->id);
    }
}

/// Replaces an answer that contains an unrequested schema version by an error. The request has run.
void SessionMachine::withholdAnswer()
{
    cancelMajorityWait();
    if (request_->answer && request_->fromPrimary) {
        floor_.raise(group_, request_->answer->report.position);
    }
    logDecision("answer of " + request_->answeredBy + " withheld",
                "it holds a schema version that was not requested");
    if (link_) {
        loseTransaction(ErrorKind::AnswerWithheld, true);
        if (link_) {
            releaseLink(false);
        }
    }
    const auto &answer = describe(ErrorKind::AnswerWithheld);
    finish({}, SqlError{std::string{answer.state}, std::string{answer.text},
                        ErrorKind::AnswerWithheld});
}

} // namespace hyssoprock
