#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr Duration notPrimaryRetryDelay = std::chrono::milliseconds{25};
constexpr Duration laggingRetryDelay = std::chrono::milliseconds{20};
constexpr Duration busyRetryDelay = std::chrono::milliseconds{10};
constexpr Duration notPrimaryReportInterval = std::chrono::milliseconds{200};
// A read that fails because of its own text fails on every endpoint.
constexpr std::uint32_t failedReadAttemptsMax = 3;
// A value that an endpoint never accepts must not be sent until the statement's deadline. An
// endpoint that fails half of its commands accepts two in a row within 8 attempts with 90%.
constexpr std::uint32_t valueFailuresMax = 8;

} // namespace

void Pooler::Impl::on(pooler::AnswerReceived &event)
{
    auto *found = connection(event.connection);
    if (found == nullptr) {
        return;
    }
    auto *endpoint = found->target;
    if (endpoint != nullptr) {
        endpoint->lastReceivedAt = now_;
        endpoint->consecutiveFailures = 0;
    }
    if (found->pending.empty()) {
        // An unexpected answer: later answers could no longer be matched to their commands.
        drop(event.connection);
        return;
    }
    const auto pending = found->pending.front();
    found->pending.pop_front();
    switch (pending.purpose) {
    case CommandPurpose::Setup:
        handleSetupAnswer(*found, event.answer);
        return;
    case CommandPurpose::Begin:
        handleBeginAnswer(*found, pending.sentAt, event.answer);
        return;
    case CommandPurpose::Statement:
        handleStatementAnswer(*found, pending.sentAt, std::move(event.answer));
        return;
    case CommandPurpose::Release:
        if (event.answer.state != TransactionState::Idle) {
            drop(event.connection);
        } else {
            becomeIdle(*found);
        }
        return;
    }
}

void Pooler::Impl::handleSetupAnswer(PooledConnection &connection, const StatementAnswer &answer)
{
    if (answer.kind != AnswerKind::Success) {
        connection.values.invalidate();
        log([&]() {
            return "[route] " + connection.endpoint + " does not accept the values of a session";
        });
    }
    if (!connection.pending.empty()) {
        return;
    }
    auto *owner = session(connection.owner);
    if (owner == nullptr || !owner->request || owner->request->connection != connection.id
        || owner->request->phase != RequestPhase::ApplyingValues) {
        // The session has stopped waiting.
        release(connection, answer.state);
    } else if (connection.values.valid()) {
        forwardStatement(*owner, connection);
    } else {
        handleValueFailure(*owner, connection, answer.state);
    }
}

void Pooler::Impl::handleValueFailure(CallerSession &session, PooledConnection &connection,
                                      TransactionState state)
{
    auto &request = *session.request;
    const auto id = connection.endpoint;
    if (auto *endpoint = connection.target) {
        recordReadAnswer(*endpoint, request, AnswerKind::Failed);
    }
    if (session.transaction && session.transaction->connection == connection.id) {
        const auto commit = request.statement.kind == StatementKind::Commit;
        session.transaction->connection = 0;
        session.transaction->failed = true;
        if (commit) {
            session.transaction.reset();
        }
        release(connection, TransactionState::Open);
        answer(session, AnswerKind::Aborted, "the transaction was rolled back");
        return;
    }
    request.connection = 0;
    request.phase = RequestPhase::Waiting;
    ++request.valueFailures;
    release(connection, state);
    if (request.valueFailures >= valueFailuresMax || now_ >= request.waitDeadline) {
        failWaitingRequest(session, "the endpoint does not accept the session's values");
    } else {
        retry(session, id);
    }
}

void Pooler::Impl::handleBeginAnswer(PooledConnection &connection, Instant sentAt,
                                     const StatementAnswer &answer)
{
    auto *owner = session(connection.owner);
    auto *endpoint = connection.target;
    if (owner == nullptr || !owner->request || owner->request->connection != connection.id
        || owner->request->phase != RequestPhase::Beginning) {
        release(connection, answer.state);
        return;
    }
    auto &request = *owner->request;
    if (!connection.values.valid()) {
        handleValueFailure(*owner, connection, answer.state);
        return;
    }
    if (answer.kind != AnswerKind::Success) {
        const auto id = connection.endpoint;
        if (endpoint != nullptr) {
            recordRefusal(*endpoint, request, answer.kind);
        }
        request.connection = 0;
        request.phase = RequestPhase::Waiting;
        release(connection, answer.state);
        retry(*owner, answer.kind == AnswerKind::ReadOnly ? std::string{} : id);
        return;
    }
    if (request.readWriteBegin && answer.position) {
        request.service->history.add(sentAt, *answer.position);
    }
    if (owner->transaction) {
        owner->transaction->connection = connection.id;
        owner->transaction->readWrite = request.readWriteBegin;
    }
    forwardStatement(*owner, connection);
}

void Pooler::Impl::handleStatementAnswer(PooledConnection &connection, Instant sentAt,
                                         StatementAnswer answer)
{
    auto *endpoint = connection.target;
    if (endpoint != nullptr) {
        endpoint->recordLatency(now_ - sentAt, now_);
    }
    auto *owner = session(connection.owner);
    if (owner == nullptr || !owner->request || owner->request->connection != connection.id) {
        // The session has stopped waiting for this answer.
        release(connection, answer.state);
        return;
    }
    recordStatementEnd(*owner);
    if (answer.kind == AnswerKind::UnknownPrepared) {
        connection.values.forget(owner->request->preparedName);
    }
    if (endpoint != nullptr) {
        recordReadAnswer(*endpoint, *owner->request, answer.kind);
    }
    if (counters_) {
        recordAnsweredBy(*owner->request, endpoint);
    }
    log([&]() {
        return "[route] statement " + owner->request->statement.id + " answered by "
               + connection.endpoint + " after " + std::to_string(toMilliseconds(now_ - sentAt))
               + " ms";
    });
    if (!owner->transaction) {
        handleAutocommitAnswer(*owner, connection, std::move(answer));
    } else if (owner->request->statement.kind == StatementKind::Commit) {
        handleCommitAnswer(*owner, connection, std::move(answer));
    } else {
        handleTransactionAnswer(*owner, connection, std::move(answer));
    }
}

void Pooler::Impl::handleTransactionAnswer(CallerSession &session, PooledConnection &connection,
                                           StatementAnswer answer)
{
    const auto &request = *session.request;
    if (answer.kind == AnswerKind::Success && answer.state == TransactionState::Open) {
        if (session.transaction->readWrite && answer.position) {
            request.service->history.add(request.sentAt, *answer.position);
        }
        retries_.recordSuccess();
        this->answer(session, std::move(answer));
        return;
    }
    if (auto *endpoint = connection.target) {
        recordRefusal(*endpoint, request, answer.kind);
    }
    // The commit was not sent and will not be, so the transaction has no effect.
    session.transaction->connection = 0;
    session.transaction->failed = true;
    release(connection, TransactionState::Open);
    this->answer(session, AnswerKind::Aborted, "the transaction was rolled back");
}

void Pooler::Impl::handleCommitAnswer(CallerSession &session, PooledConnection &connection,
                                      StatementAnswer answer)
{
    const auto hasWrites = session.transaction->hasWrites;
    if (answer.kind == AnswerKind::Success && hasWrites && answer.position) {
        auto &history = session.request->service->history;
        history.add(session.request->sentAt, *answer.position);
        raiseFloor(session, *answer.position);
    }
    if (answer.kind == AnswerKind::Success) {
        retries_.recordSuccess();
    } else if (auto *endpoint = connection.target) {
        recordRefusal(*endpoint, *session.request, answer.kind);
    }
    session.transaction.reset();
    release(connection, answer.state);
    this->answer(session, std::move(answer));
}

void Pooler::Impl::raiseFloor(CallerSession &session, LogPosition position)
{
    const auto &service = session.request->route.service;
    // A floor of an older term is translated first, because its index may be greater than that of
    // the new term's start.
    const auto before = session.floor.establishedPosition(service);
    const auto floor =
        before ? session.request->service->history.translateToNewestTerm(*before) : LogPosition{};
    session.floor.establish(service, std::max(floor, position));
}

void Pooler::Impl::handleAutocommitAnswer(CallerSession &session, PooledConnection &connection,
                                          StatementAnswer answer)
{
    auto &request = *session.request;
    const auto endpointId = connection.endpoint;
    const auto implicitTransaction = request.implicitTransaction;
    auto &history = request.service->history;
    if (answer.kind == AnswerKind::Success) {
        if ((request.writes || implicitTransaction) && answer.position) {
            history.add(request.sentAt, *answer.position);
        }
        if (request.writes && answer.position) {
            raiseFloor(session, *answer.position);
        }
        retries_.recordSuccess();
        release(connection, implicitTransaction ? TransactionState::Open : answer.state);
        this->answer(session, std::move(answer));
        return;
    }
    if (auto *endpoint = find(endpointId)) {
        recordRefusal(*endpoint, request, answer.kind);
    }
    request.connection = 0;
    request.phase = RequestPhase::Waiting;
    release(connection, implicitTransaction ? TransactionState::Open : answer.state);
    const auto notRun = provesNotRun(answer.kind);
    const auto repeatable = notRun || (!request.writes && request.attempts < failedReadAttemptsMax);
    if (!repeatable) {
        this->answer(session, std::move(answer));
    } else if (now_ >= request.waitDeadline) {
        failWaitingRequest(session);
    } else {
        retry(session, answer.kind == AnswerKind::ReadOnly ? std::string{} : endpointId);
    }
}

void Pooler::Impl::recordStatementEnd(const CallerSession &session)
{
    if (!session.request || session.request->phase != RequestPhase::Running) {
        return;
    }
    const auto *used = connection(session.request->connection);
    auto *endpoint = used == nullptr ? nullptr : used->target;
    if (endpoint != nullptr && endpoint->statementsInFlight > 0) {
        --endpoint->statementsInFlight;
    }
}

void Pooler::Impl::recordRefusal(PooledEndpoint &endpoint, const CallerRequest &request,
                                 AnswerKind kind)
{
    if (counters_) {
        countRefusal(kind);
    }
    if (kind == AnswerKind::ReadOnly) {
        handleNotPrimary(endpoint);
    } else if (kind == AnswerKind::Lagging && request.requiredPosition) {
        endpoint.laggingUntil = now_ + laggingRetryDelay;
        endpoint.laggingBelow = *request.requiredPosition;
    } else if (kind == AnswerKind::Busy) {
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now_ + busyRetryDelay);
        recordBusy(endpoint);
    }
}

void Pooler::Impl::handleNotPrimary(PooledEndpoint &endpoint)
{
    endpoint.notPrimaryUntil = now_ + notPrimaryRetryDelay;
    auto &service = *endpoint.service;
    if (service.notPrimaryReportedAt
        && *service.notPrimaryReportedAt + notPrimaryReportInterval > now_) {
        return;
    }
    service.notPrimaryReportedAt = now_;
    report(endpoint, Reachability::NotPrimary);
}

void Pooler::Impl::release(PooledConnection &connection, TransactionState state)
{
    connection.owner = 0;
    connection.abandonedAt.reset();
    if (state != TransactionState::Idle) {
        EndpointCommand rollback;
        rollback.kind = EndpointCommandKind::Rollback;
        send(connection, std::move(rollback), CommandPurpose::Release);
        return;
    }
    becomeIdle(connection);
}

void Pooler::Impl::becomeIdle(PooledConnection &connection)
{
    if (!connection.pending.empty()) {
        return;
    }
    connection.idleSince = now_;
    auto *endpoint = connection.target;
    if (endpoint == nullptr || !endpoint->connections.contains(connection.id)) {
        // The endpoint was removed from the list while a session held the connection. If it was
        // listed again since, the connection is not in its pool.
        close(connection.id);
        return;
    }
    auto &service = *endpoint->service;
    const auto id = connection.id;
    endpoint->usage.recordReleased(now_ - connection.acquiredAt);
    closeIdleIfDraining(*endpoint);
    placeWaiting(service);
    limitIdleTime(*endpoint, id);
}

void Pooler::Impl::limitIdleTime(const PooledEndpoint &endpoint, ConnectionId id)
{
    const auto *idle = connection(id);
    if (idle == nullptr || !idle->idle()) {
        return;
    }
    if (isRecentlyFull(endpoint) && idleTimeMin(*idle) == Duration::zero()
        && (!isOversubscribed(endpoint) || !teams_.empty())) {
        // The endpoint is at its limit, so another host may need the connection.
        close(id);
    } else if (isOversubscribed(endpoint)) {
        scheduleMaintenance(now_ + idleTimeout(endpoint));
    }
}

void Pooler::Impl::releaseSession(CallerSession &session)
{
    removeWaiting(session);
    ConnectionId held = 0;
    auto running = false;
    if (session.request) {
        held = session.request->connection;
        running = held != 0;
        recordStatementEnd(session);
    }
    if (held == 0 && session.transaction) {
        held = session.transaction->connection;
    }
    session.request.reset();
    const auto inTransaction = session.transaction.has_value();
    session.transaction.reset();
    auto *used = connection(held);
    if (used == nullptr) {
        return;
    }
    if (running) {
        // The connection can be reused after the answer to its last command.
        abandon(*used);
    } else if (inTransaction) {
        release(*used, TransactionState::Open);
    }
}

} // namespace hyssoprock
