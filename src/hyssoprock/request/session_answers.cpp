#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

/// Whether every schema_version of a result is among the versions.
bool versionsRequested(const StatementResult &result, const std::vector<std::uint32_t> &versions)
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

/// An answer that says nothing of data and nothing of a commit: no position matters to it.
bool withoutData(const std::vector<StatementResult> &results, bool fromPrimary)
{
    return std::all_of(results.begin(), results.end(), [&](const StatementResult &result) {
        return result.columns.empty()
               && (result.kind == ResultKind::Begin || result.kind == ResultKind::Rollback
                   || (result.kind == ResultKind::Commit && !fromPrimary));
    });
}

bool withoutRows(const std::vector<StatementResult> &results)
{
    return std::all_of(results.begin(), results.end(),
                       [](const StatementResult &result) { return result.columns.empty(); });
}

} // namespace

void SessionMachine::onEvent(const EndpointAnswer &event)
{
    if (!link_ || link_->id != event.connection || link_->outstanding != event.send) {
        return; // Late: its request has been given up.
    }
    check(request_ != nullptr, "an answer belongs to a request");
    link_->outstanding.reset();
    tables_.observe(group_, link_->endpoint, event.report, link_->sentAt, link_->leaseAtSend, now_);
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
    request.machine.answeredByEndpoint();
    if (answer.status == TransactionState::Idle) {
        request.machine.transactionEnded();
    }
    request.answeredBy = link_->endpoint;
    request.fromPrimary = link_->primary;
    request.sentTerm = std::max(request.sentTerm, answer.report.position.term);
    request.ackDeadline = now_ + settings_.majorityTimeout;
    request.answer = std::move(answer);
    updateTransaction(event);
    evaluate();
}

/// Pins the connection while the endpoint reports a transaction, and releases it otherwise.
void SessionMachine::updateTransaction(const EndpointAnswer &answer)
{
    auto &request = *request_;
    if (answer.status == TransactionState::Idle) {
        if (transaction_ || answer.error) {
            link_->schemaVersions = internal::unknownVersions;
        }
        transaction_.reset();
        releaseLink(true);
        return;
    }
    if (!transaction_) {
        transaction_.emplace();
        transaction_->attributes = request.attributes;
        transaction_->configuration = request.configuration;
        if (request.insertId && !answer.error) {
            transaction_->requestId = request.attributes.requestId;
        }
    } else if (request.properties.mixesTransactionControl) {
        transaction_->requestId.clear(); // This may be another transaction than the id's.
    }
    transaction_->failedByEndpoint = answer.status == TransactionState::Failed;
}

void SessionMachine::handleError(const EndpointAnswer &answer)
{
    auto &request = *request_;
    const auto &traits = request.machine.traits();
    if (provesNotRun(answer.kind) && !traits.inTransaction && !traits.readOnly
        && !request.machine.streaming()) {
        // The endpoint is no longer primary and has run nothing. The next primary may run it.
        logDecision("endpoint " + link_->endpoint + " accepts no writes",
                    "waits for the next primary");
        request.fencedTerm = link_->term;
        link_->schemaVersions = internal::unknownVersions;
        releaseLink(answer.status == TransactionState::Idle);
        retry(true, false);
        return;
    }
    if (!isAtomic() && link_->primary) {
        floor_.raise(group_, answer.report.position);
    }
    // Results before an error may hold data that has not been checked, so they are left out.
    if (request.wrap && answer.status != TransactionState::Idle) {
        releaseLink(false);
    } else {
        updateTransaction(answer);
    }
    request.machine.answeredByEndpoint();
    finish({}, answer.error);
}

SessionMachine::Gate SessionMachine::gate(const EndpointReport &report)
{
    auto &request = *request_;
    if (!request.fromPrimary) {
        auto needs = request.requirements;
        needs.floor = floor_.known(group_);
        const auto verdict =
            tables_.router.checkReplicaAnswer(needs, request.choice.completeFrom, report, now_);
        if (verdict != AnswerVerdict::Accept) {
            logDecision("answer of " + request.answeredBy + " discarded", toString(verdict));
            return Gate::Discard;
        }
        return tables_.acks.isHeldByMajority(group_, report.position) ? Gate::Pass : Gate::Wait;
    }
    request.incompleteAt.reset();
    const auto &views = tables_.views;
    if (report.role != EndpointRole::Primary || views.termOver(group_, report.position.term)
        || report.position < floor_.atLeast(group_)) {
        logDecision("answer of " + request.answeredBy + " not acknowledged",
                    "it is not from the primary of the view's term");
        return Gate::Discard;
    }
    if (report.position < request.choice.completeFrom) {
        logDecision("answer of " + request.answeredBy + " discarded",
                    toString(AnswerVerdict::Incomplete));
        request.incompleteAt = report.position;
        return Gate::Discard;
    }
    const bool allowed =
        views.mayAcknowledge(group_, request.answeredBy, report.position.term, now_);
    return allowed && tables_.acks.isHeldByMajority(group_, report.position) ? Gate::Pass
                                                                             : Gate::Wait;
}

/// Why a discarded answer cannot be delivered.
ErrorKind SessionMachine::discardKind() const noexcept
{
    if (!request_->fromPrimary) {
        return ErrorKind::AgeNotProven;
    }
    return request_->incompleteAt ? ErrorKind::VersionNotUnderstood : ErrorKind::EndpointLost;
}

void SessionMachine::evaluate()
{
    auto &request = *request_;
    auto &answer = *request.answer;
    const auto &results = answer.results;
    if (request.checkVersions
        && !std::all_of(results.begin(), results.end(), [&](const StatementResult &result) {
               return versionsRequested(result, request.choice.versions);
           })) {
        withhold();
        return;
    }
    if (withoutRows(results)) {
        request.choice.completeFrom = {}; // Only rows can be incomplete, so a change needs none.
    }
    // A change within an open transaction takes effect with its commit, which is checked then.
    const bool uncommitted = transaction_ && request.machine.traits().inTransaction && link_
                             && request.fromPrimary && withoutRows(results)
                             && !request.properties.mayCommit
                             && !tables_.views.termOver(group_, link_->term);
    if (uncommitted || withoutData(results, request.fromPrimary)) {
        unwatch();
        auto delivered = std::move(answer.results);
        finish(std::move(delivered), std::nullopt);
        return;
    }
    switch (gate(answer.report)) {
    case Gate::Pass: {
        unwatch();
        if (request.fromPrimary) {
            floor_.establish(group_, answer.report.position);
        } else {
            floor_.raise(group_, answer.report.position);
        }
        auto delivered = std::move(answer.results);
        finish(std::move(delivered), std::nullopt);
        return;
    }
    case Gate::Discard:
        unwatch();
        fail(discardKind(), "the answer cannot be delivered", true);
        return;
    case Gate::Wait:
        if (now_ >= *request.ackDeadline) {
            unwatch();
            fail(ErrorKind::DeadlineExceeded, "no majority holds the answer's position in time",
                 !request.fromPrimary);
            return;
        }
        watch(answer.report.position, request.answeredBy, request.fromPrimary,
              *request.ackDeadline);
        return;
    }
}

void SessionMachine::onEvent(const AnswerPart &event)
{
    if (!link_ || link_->id != event.connection || link_->outstanding != event.send) {
        return;
    }
    auto &request = *request_;
    if (request.settlement || event.fromProxy) {
        actions_.emplace_back(ContinueReading{link_->id});
        return;
    }
    if (!request.machine.streaming()) {
        tables_.observe(group_, link_->endpoint, event.report, link_->sentAt, link_->leaseAtSend,
                        now_);
        request.answeredBy = link_->endpoint;
        request.fromPrimary = link_->primary;
        request.ackDeadline = now_ + settings_.majorityTimeout;
    }
    request.part = event;
    forwardParts();
}

/// Passes rows on before the answer is complete, under the same rules as a complete answer.
void SessionMachine::forwardParts()
{
    auto &request = *request_;
    const auto &part = *request.part;
    if (request.checkVersions && !versionsRequested(part.result, request.choice.versions)) {
        withhold();
        return;
    }
    const auto passage = gate(part.report);
    if (passage == Gate::Wait && now_ < *request.ackDeadline) {
        watch(part.report.position, request.answeredBy, request.fromPrimary, *request.ackDeadline);
        return;
    }
    unwatch();
    if (passage != Gate::Pass) {
        fail(discardKind(), "the answer cannot be delivered", true);
        return;
    }
    if (!request.machine.streaming()) {
        logDecision("answer of " + request.answeredBy + " streamed", "over the buffer limit");
        request.machine.streamingStarted();
        floor_.raise(group_, part.report.position);
    }
    actions_.emplace_back(ForwardRows{part.result, part.statementIndex});
    actions_.emplace_back(ContinueReading{link_->id});
    request.ackDeadline = now_ + settings_.majorityTimeout;
    request.part.reset();
}

void SessionMachine::watch(const LogPosition &position, std::string endpoint, bool fromPrimary,
                           Instant deadline)
{
    if (!request_->watching) {
        request_->watching = true;
        tables_.acks.add({session_, request_->id, group_, std::move(endpoint), position,
                          fromPrimary, now_, deadline});
    }
}

void SessionMachine::unwatch()
{
    if (request_ != nullptr && request_->watching) {
        request_->watching = false;
        tables_.acks.remove(session_, request_->id);
    }
}

/// The answer holds a schema version that was not requested. Work that it belongs to has run.
void SessionMachine::withhold()
{
    unwatch();
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
