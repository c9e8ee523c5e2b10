#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr Duration leadRetry = std::chrono::milliseconds{25};
constexpr Duration lagRetry = std::chrono::milliseconds{20};
constexpr Duration busyRetry = std::chrono::milliseconds{10};
constexpr Duration complaintInterval = std::chrono::milliseconds{200};
// A read that fails for reasons of its own fails everywhere.
constexpr std::uint32_t failedReadAttempts = 3;

} // namespace

void Pooler::Impl::on(pooler::AnswerReceived &event)
{
    auto *found = connection(event.connection);
    if (found == nullptr) {
        return;
    }
    auto *endpoint = found->target;
    if (endpoint != nullptr) {
        endpoint->heardAt = now_;
        endpoint->failures = 0;
    }
    if (found->pending.empty()) {
        // An answer that nothing asked for: what follows on this connection cannot be trusted.
        drop(event.connection);
        return;
    }
    const auto pending = found->pending.front();
    found->pending.pop_front();
    switch (pending.purpose) {
    case CommandPurpose::Setup:
        if (event.answer.kind != AnswerKind::Success) {
            drop(event.connection);
        }
        return;
    case CommandPurpose::Begin:
        beginAnswered(*found, pending.sentAt, event.answer);
        return;
    case CommandPurpose::Statement:
        statementAnswered(*found, pending.sentAt, std::move(event.answer));
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

void Pooler::Impl::beginAnswered(PooledConnection &connection, Instant sentAt,
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
    if (answer.kind != AnswerKind::Success) {
        const auto id = connection.endpoint;
        if (endpoint != nullptr) {
            noteRefusal(*endpoint, request, answer.kind);
        }
        request.connection = 0;
        request.phase = RequestPhase::Waiting;
        release(connection, answer.state);
        retry(*owner, answer.kind == AnswerKind::ReadOnly ? std::string{} : id);
        return;
    }
    if (request.plainBegin && answer.position) {
        request.service->history.add(sentAt, *answer.position);
    }
    if (owner->transaction) {
        owner->transaction->connection = connection.id;
        owner->transaction->plain = request.plainBegin;
    }
    sendStatement(*owner, connection, std::nullopt);
}

void Pooler::Impl::statementAnswered(PooledConnection &connection, Instant sentAt,
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
    stopRunning(*owner);
    if (counters_) {
        noteAnsweredBy(*owner->request, endpoint);
    }
    log([&]() {
        return "[route] statement " + owner->request->statement.id + " answered by "
               + connection.endpoint + " after " + std::to_string(toMilliseconds(now_ - sentAt))
               + " ms";
    });
    if (!owner->transaction) {
        singleAnswered(*owner, connection, std::move(answer));
    } else if (owner->request->statement.kind == StatementKind::Commit) {
        commitAnswered(*owner, connection, std::move(answer));
    } else {
        transactionAnswered(*owner, connection, std::move(answer));
    }
}

void Pooler::Impl::transactionAnswered(CallerSession &session, PooledConnection &connection,
                                       StatementAnswer answer)
{
    const auto &request = *session.request;
    if (answer.kind == AnswerKind::Success && answer.state == TransactionState::Open) {
        if (session.transaction->plain && answer.position) {
            request.service->history.add(request.sentAt, *answer.position);
        }
        retries_.recordSuccess();
        this->answer(session, std::move(answer));
        return;
    }
    if (auto *endpoint = connection.target) {
        noteRefusal(*endpoint, request, answer.kind);
    }
    // The commit was not sent and will not be, so nothing of the transaction is kept.
    session.transaction->connection = 0;
    session.transaction->failed = true;
    release(connection, TransactionState::Open);
    this->answer(session, AnswerKind::Aborted, "the transaction was rolled back");
}

void Pooler::Impl::commitAnswered(CallerSession &session, PooledConnection &connection,
                                  StatementAnswer answer)
{
    const auto wrote = session.transaction->wrote;
    if (answer.kind == AnswerKind::Success && wrote && answer.position) {
        auto &history = session.request->service->history;
        history.add(session.request->sentAt, *answer.position);
        raiseFloor(session, *answer.position);
    }
    if (answer.kind == AnswerKind::Success) {
        retries_.recordSuccess();
    } else if (auto *endpoint = connection.target) {
        noteRefusal(*endpoint, *session.request, answer.kind);
    }
    session.transaction.reset();
    release(connection, answer.state);
    this->answer(session, std::move(answer));
}

void Pooler::Impl::raiseFloor(CallerSession &session, LogPosition position)
{
    const auto &service = session.request->route.service;
    // A floor of an older term is translateToNewestTerm first, as it may be beyond the start of the
    // new one.
    const auto before = session.floor.establishedPosition(service);
    const auto floor =
        before ? session.request->service->history.translateToNewestTerm(*before) : LogPosition{};
    session.floor.establish(service, std::max(floor, position));
}

void Pooler::Impl::singleAnswered(CallerSession &session, PooledConnection &connection,
                                  StatementAnswer answer)
{
    auto &request = *session.request;
    const auto endpointId = connection.endpoint;
    const auto guarded = request.guarded;
    auto &history = request.service->history;
    if (answer.kind == AnswerKind::Success) {
        if ((request.writes || guarded) && answer.position) {
            history.add(request.sentAt, *answer.position);
        }
        if (request.writes && answer.position) {
            raiseFloor(session, *answer.position);
        }
        retries_.recordSuccess();
        release(connection, guarded ? TransactionState::Open : answer.state);
        this->answer(session, std::move(answer));
        return;
    }
    if (auto *endpoint = find(endpointId)) {
        noteRefusal(*endpoint, request, answer.kind);
    }
    if (answer.kind == AnswerKind::UnknownPrepared) {
        connection.values.forget(preparedNames_.nameOf(request.prepared));
    }
    request.connection = 0;
    request.phase = RequestPhase::Waiting;
    release(connection, guarded ? TransactionState::Open : answer.state);
    const auto notRun = provesNotRun(answer.kind);
    const auto repeatable = notRun || (!request.writes && request.attempts < failedReadAttempts);
    if (!repeatable) {
        this->answer(session, std::move(answer));
    } else if (now_ >= request.waitDeadline) {
        giveUp(session);
    } else {
        retry(session, answer.kind == AnswerKind::ReadOnly ? std::string{} : endpointId);
    }
}

void Pooler::Impl::stopRunning(const CallerSession &session)
{
    if (!session.request || session.request->phase != RequestPhase::Running) {
        return;
    }
    const auto *used = connection(session.request->connection);
    auto *endpoint = used == nullptr ? nullptr : used->target;
    if (endpoint != nullptr && endpoint->running > 0) {
        --endpoint->running;
    }
}

void Pooler::Impl::noteRefusal(PooledEndpoint &endpoint, const CallerRequest &request,
                               AnswerKind kind)
{
    if (counters_) {
        countRefusal(kind);
    }
    if (kind == AnswerKind::ReadOnly) {
        refusedToLead(endpoint);
    } else if (kind == AnswerKind::Lagging && request.demanded) {
        endpoint.laggingUntil = now_ + lagRetry;
        endpoint.laggingBelow = *request.demanded;
    } else if (kind == AnswerKind::Busy) {
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now_ + busyRetry);
    }
}

void Pooler::Impl::refusedToLead(PooledEndpoint &endpoint)
{
    endpoint.notPrimaryUntil = now_ + leadRetry;
    auto &service = *endpoint.service;
    if (service.complainedAt && *service.complainedAt + complaintInterval > now_) {
        return;
    }
    service.complainedAt = now_;
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
        // The endpoint was removed from the list while a session held the connection. If it is
        // listed again since, the connection is not among those that sessions can take.
        close(connection.id);
        return;
    }
    auto &service = *endpoint->service;
    const auto id = connection.id;
    endpoint->use.recordReleased(now_ - connection.usedAt);
    trim(*endpoint);
    pump(service);
    limitIdle(*endpoint, id);
}

void Pooler::Impl::limitIdle(const PooledEndpoint &endpoint, ConnectionId id)
{
    const auto *idle = connection(id);
    if (idle == nullptr || !idle->idle()) {
        return;
    }
    if (isShared(endpoint)) {
        housekeepBy(now_ + idleLimit(endpoint));
    } else if (isScarce(endpoint)) {
        // Another host waits for a connection to this endpoint.
        close(id);
    }
}

void Pooler::Impl::sessionLost(CallerSession &session)
{
    stopWaiting(session);
    ConnectionId held = 0;
    auto running = false;
    if (session.request) {
        held = session.request->connection;
        running = held != 0;
        stopRunning(session);
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
        // Its answer is awaited, so that the connection can be used again.
        abandon(*used);
    } else if (inTransaction) {
        release(*used, TransactionState::Open);
    }
}

} // namespace hyssoprock
