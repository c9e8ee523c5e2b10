#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr Duration shutdownCheckInterval = std::chrono::milliseconds{50};
// A load balancer needs two failed probes, a second apart, before it stops sending callers here.
constexpr Duration loadBalancerDelay = std::chrono::milliseconds{2200};
// Part of the statement timeout in which a statement may wait for a connection. The rest remains
// for running it.
constexpr int waitPercent = 90;
constexpr int wholePercent = 100;

bool isWrite(const CallerSession &session, const Statement &statement)
{
    if (statement.kind == StatementKind::Execute) {
        const auto found = session.values.prepared.find(statement.name);
        return found != session.values.prepared.end() && found->second.writes;
    }
    return statement.kind == StatementKind::Write;
}

} // namespace

void Pooler::Impl::on(pooler::CallerConnected &event)
{
    auto &arrived = sessions_[event.caller];
    arrived.id = event.caller;
    arrived.database = std::move(event.database);
    arrived.key = std::move(event.user);
    arrived.connectedAt = now_;
    arrived.activeAt = now_;
    admit(arrived);
}

void Pooler::Impl::admit(CallerSession &arrived)
{
    if (!document_) {
        schedule(arrived);
        return;
    }
    const auto id = arrived.id;
    if (const auto &route = routeOf(arrived); route.route == nullptr || !route.authorized) {
        const auto known = route.route != nullptr;
        actions_.emplace_back(
            pooler::RefuseCaller{id, known ? AnswerKind::NotAuthorized : AnswerKind::NoDatabase,
                                 known ? "no team holds this key" : "no such database"});
        unschedule(arrived);
        sessions_.erase(id);
        return;
    }
    if (shutdown_ && now_ >= shutdown_->closeIdleAt) {
        actions_.emplace_back(pooler::RefuseCaller{id, AnswerKind::Busy, "shutting down"});
        unschedule(arrived);
        sessions_.erase(id);
        return;
    }
    arrived.accepted = true;
    actions_.emplace_back(pooler::AcceptCaller{id});
    schedule(arrived);
    startNextStatement(arrived);
}

void Pooler::Impl::on(pooler::StatementReceived &event)
{
    auto *known = session(event.caller);
    if (known == nullptr) {
        return;
    }
    if (known->request || !known->accepted || !known->queuedStatements.empty()) {
        known->queuedStatements.push_back(std::move(event.statement));
        if (known->queuedStatements.size() > settings_.limits.pipelinedStatements) {
            closeSession(*known);
        }
        return;
    }
    startStatement(*known, std::move(event.statement));
}

const std::string &Pooler::Impl::teamOf(CallerId caller) const
{
    static const std::string none;
    const auto found = sessions_.find(caller);
    return found == sessions_.end() ? none : found->second.route.team;
}

void Pooler::Impl::on(pooler::CallerDisconnected &event)
{
    if (auto *known = session(event.caller)) {
        releaseSession(*known);
        unschedule(*known);
        sessions_.erase(event.caller);
        finishShutdownIfDone();
    }
}

void Pooler::Impl::startStatement(CallerSession &session, Statement statement)
{
    if (session.transaction
        && (session.transaction->failed || session.transaction->lostWhileIdle)) {
        answerInFailedTransaction(session, statement);
        return;
    }
    switch (statement.kind) {
    case StatementKind::Malformed:
        if (session.transaction) {
            failTransaction(session, AnswerKind::Malformed, "statement not understood");
        } else {
            answer(session, AnswerKind::Malformed, "statement not understood");
        }
        return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        beginTransaction(session, statement);
        return;
    case StatementKind::Rollback:
        rollbackTransaction(session);
        return;
    case StatementKind::SetVariable:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        setValue(session, statement);
        return;
    case StatementKind::Commit:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        runStatement(session, std::move(statement));
        return;
    }
}

void Pooler::Impl::answerInFailedTransaction(CallerSession &session, const Statement &statement)
{
    const auto lost = session.transaction->lostWhileIdle && !session.transaction->failed;
    if (statement.kind == StatementKind::Rollback) {
        session.transaction.reset();
        answer(session, AnswerKind::Success);
    } else if (statement.kind == StatementKind::Commit) {
        session.transaction.reset();
        answer(session, AnswerKind::Aborted, "the transaction was rolled back");
    } else {
        session.transaction->failed = true;
        answer(session, lost ? AnswerKind::Aborted : AnswerKind::Malformed,
               "the transaction was rolled back");
    }
}

const SessionRoute &Pooler::Impl::routeOf(CallerSession &session)
{
    auto &known = session.route;
    if (known.documentNumber != documentNumber_) {
        const auto *route = routes_.find(session.database);
        known = {documentNumber_, route, route == nullptr ? nullptr : &services_[route->service]};
        if (!teams_.empty()) {
            const auto *team = teams_.find(session.key);
            known.team = team == nullptr ? std::string{} : team->name;
            known.authorized = team != nullptr || (route != nullptr && route->isPublic);
        }
    }
    return known;
}

bool Pooler::Impl::mayContinue(CallerSession &session)
{
    const auto &current = routeOf(session);
    if (session.transaction) {
        // A route that was removed still serves the transactions that began on it.
        return session.transaction->team == current.team
               && (current.authorized || session.transaction->route.isPublic);
    }
    return current.route == nullptr || current.authorized;
}

void Pooler::Impl::refuseUnauthorized(CallerSession &session, const Statement &statement)
{
    constexpr auto reason = "no team holds this key any more";
    if (!session.transaction) {
        answer(session, AnswerKind::NotAuthorized, reason);
    } else if (statement.kind == StatementKind::Commit) {
        const auto holder = session.transaction->connection;
        session.transaction.reset();
        if (auto *held = connection(holder)) {
            release(*held, TransactionState::Open);
        }
        answer(session, AnswerKind::Aborted, reason);
    } else {
        failTransaction(session, AnswerKind::Aborted, reason);
    }
}

void Pooler::Impl::endUnauthorizedTransactions()
{
    std::vector<CallerId> ended;
    for (auto &[id, known] : sessions_) {
        if (known.accepted && !known.request && known.transaction
            && known.transaction->connection != 0 && !mayContinue(known)) {
            ended.push_back(id);
        }
    }
    std::sort(ended.begin(), ended.end());
    for (const auto id : ended) {
        auto &known = sessions_.at(id);
        log([&]() { return "[route] a transaction of " + known.database + " lost its key"; });
        known.transaction->lostWhileIdle = true;
        unschedule(known);
        const auto holder = std::exchange(known.transaction->connection, 0);
        if (auto *held = connection(holder)) {
            release(*held, TransactionState::Open);
        }
    }
}

void Pooler::Impl::beginTransaction(CallerSession &session, const Statement &statement)
{
    if (session.transaction) {
        failTransaction(session, AnswerKind::Malformed, "a transaction is open");
        return;
    }
    const auto &[document, route, service, team, authorized] = routeOf(session);
    if (route == nullptr) {
        answer(session, AnswerKind::NoDatabase, "no such database");
        return;
    }
    if (!authorized) {
        refuseUnauthorized(session, statement);
        return;
    }
    CallerTransaction transaction;
    transaction.readOnly = statement.kind == StatementKind::BeginReadOnly;
    transaction.begunAt = now_;
    transaction.route = *route;
    transaction.service = service;
    transaction.team = team;
    session.transaction = std::move(transaction);
    answer(session, AnswerKind::Success);
}

void Pooler::Impl::setValue(CallerSession &session, const Statement &statement)
{
    auto &values = session.values;
    const auto bytes = valueBytesAfter(values, session.valueBytes, statement);
    if (const auto reason = exceededLimit(settings_.limits, values, bytes, statement)) {
        if (session.transaction) {
            failTransaction(session, AnswerKind::TooLarge, std::string{*reason});
        } else {
            answer(session, AnswerKind::TooLarge, std::string{*reason});
        }
        return;
    }
    session.valueBytes = bytes;
    if (statement.kind == StatementKind::SetVariable) {
        values.variables[statement.name] = statement.argument;
    } else if (statement.kind == StatementKind::Prepare) {
        values.prepared[statement.name] = {statement.shape, statement.writes};
    } else {
        values.prepared.erase(statement.name);
    }
    answer(session, AnswerKind::Success);
}

void Pooler::Impl::rollbackTransaction(CallerSession &session)
{
    if (session.transaction) {
        const auto holder = session.transaction->connection;
        session.transaction.reset();
        if (auto *held = connection(holder)) {
            release(*held, TransactionState::Open);
        }
    }
    answer(session, AnswerKind::Success);
}

void Pooler::Impl::runStatement(CallerSession &session, Statement statement)
{
    if (statement.kind == StatementKind::Commit && !session.transaction) {
        answer(session, AnswerKind::Malformed, "no transaction is open");
        return;
    }
    if (!mayContinue(session)) {
        refuseUnauthorized(session, statement);
        return;
    }
    CallerRequest request;
    if (statement.kind == StatementKind::Execute) {
        const auto found = session.values.prepared.find(statement.name);
        if (found == session.values.prepared.end()) {
            answer(session, AnswerKind::UnknownPrepared, "no such prepared statement");
            return;
        }
        request.prepared = found->second;
    }
    if (session.transaction) {
        request.route = session.transaction->route;
        request.service = session.transaction->service;
        request.team = session.transaction->team;
        request.freshAsOf = session.transaction->begunAt;
    } else {
        const auto &[document, route, service, team, authorized] = routeOf(session);
        if (route == nullptr) {
            answer(session, AnswerKind::NoDatabase, "no such database");
            return;
        }
        request.route = *route;
        request.service = service;
        request.team = team;
        request.freshAsOf = now_;
    }
    request.writes = isWrite(session, statement);
    request.statement = std::move(statement);
    const auto readOnly = session.transaction ? session.transaction->readOnly : !request.writes;
    request.needsPrimary = !readOnly || request.route.readConsistency == ReadConsistency::Primary
                           || request.route.staleness == Duration::zero();
    request.receivedAt = now_;
    request.service->usedAt = now_;
    request.runDeadline = now_ + request.route.statementTimeout;
    request.waitDeadline = now_ + request.route.statementTimeout * waitPercent / wholePercent;
    if (session.transaction && request.writes) {
        session.transaction->hasWrites = true;
    }
    session.request = std::move(request);
    if (counters_) {
        recordRule(session);
    }
    dispatchIfAllowed(session);
}

void Pooler::Impl::answer(CallerSession &session, AnswerKind kind, std::string text)
{
    StatementAnswer result;
    result.kind = kind;
    result.text = std::move(text);
    answer(session, std::move(result));
}

void Pooler::Impl::answer(CallerSession &session, StatementAnswer result)
{
    if (!session.transaction) {
        result.state = TransactionState::Idle;
    } else {
        result.state =
            session.transaction->failed ? TransactionState::Failed : TransactionState::Open;
    }
    if (counters_) {
        countAnswer(session, result.kind);
    }
    session.request.reset();
    session.activeAt = now_;
    actions_.emplace_back(pooler::AnswerCaller{session.id, std::move(result), session.valueBytes});
    schedule(session);
    startNextStatement(session);
}

void Pooler::Impl::failTransaction(CallerSession &session, AnswerKind kind, std::string text)
{
    check(session.transaction.has_value(), "only an open transaction can fail");
    session.transaction->failed = true;
    const auto holder = std::exchange(session.transaction->connection, 0);
    if (auto *held = connection(holder)) {
        release(*held, TransactionState::Open);
    }
    answer(session, kind, std::move(text));
}

void Pooler::Impl::startNextStatement(CallerSession &session)
{
    if (session.request) {
        return;
    }
    if (!session.queuedStatements.empty()) {
        auto statement = std::move(session.queuedStatements.front());
        session.queuedStatements.pop_front();
        startStatement(session, std::move(statement));
        return;
    }
    if (shutdown_ && now_ >= shutdown_->closeIdleAt && !session.transaction) {
        closeSession(session);
    }
}

void Pooler::Impl::closeSession(CallerSession &session)
{
    const auto id = session.id;
    releaseSession(session);
    unschedule(session);
    sessions_.erase(id);
    actions_.emplace_back(pooler::CloseCaller{id});
    finishShutdownIfDone();
}

void Pooler::Impl::on(pooler::ShutdownStarted &event)
{
    const auto closeIdleAt = now_ + std::min(loadBalancerDelay, event.transactionGrace);
    shutdown_ =
        Shutdown{now_, closeIdleAt, now_ + event.transactionGrace, now_ + event.grace, closeIdleAt};
    finishShutdownIfDone();
}

void Pooler::Impl::closeForShutdown()
{
    shutdown_->nextCheckAt = now_ + shutdownCheckInterval;
    std::vector<CallerId> closing;
    for (const auto &[id, known] : sessions_) {
        const auto &transaction = known.transaction;
        // A transaction begun during the shutdown may run until closeAllAt, because its caller
        // could not know of the shutdown.
        const auto expired = transaction && transaction->begunAt <= shutdown_->startedAt
                             && now_ >= shutdown_->transactionsUntil;
        const auto quiet = known.accepted && !known.request && (!transaction || expired);
        if (quiet || now_ >= shutdown_->closeAllAt) {
            closing.push_back(id);
        }
    }
    std::sort(closing.begin(), closing.end());
    for (const auto id : closing) {
        // Without an answer the caller could not know whether a statement has run.
        for (auto *found = session(id); found != nullptr && found->request; found = session(id)) {
            answerBeforeClose(*found);
        }
        // An answer closes the session if no transaction is open.
        if (auto *found = session(id)) {
            closeSession(*found);
        }
    }
    finishShutdownIfDone();
}

void Pooler::Impl::answerBeforeClose(CallerSession &session)
{
    auto &request = *session.request;
    if (request.phase == RequestPhase::Waiting
        || request.phase == RequestPhase::AwaitingAllowance) {
        failWaitingRequest(session, "this host is being stopped");
        return;
    }
    // Neither retried nor waited for any longer.
    request.waitDeadline = now_;
    drop(request.connection);
}

void Pooler::Impl::finishShutdownIfDone()
{
    if (!shutdown_ || finished_) {
        return;
    }
    if (now_ >= shutdown_->closeIdleAt && sessions_.empty()) {
        finished_ = true;
        actions_.emplace_back(pooler::ShutdownFinished{});
    }
}

} // namespace hyssoprock
