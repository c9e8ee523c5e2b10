#include <algorithm>

#include <hyssoprock/core/earlier.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// A begin and the values of a session take no slot of the endpoint, so only the network delays
// their answers.
constexpr Duration beginTimeout = std::chrono::milliseconds{200};
// Time without an answer after which a new connection probes the endpoint.
constexpr Duration silenceProbeDelay = std::chrono::milliseconds{250};
constexpr Duration startupTimeout = std::chrono::milliseconds{1500};
constexpr Duration maintenanceInterval = std::chrono::milliseconds{500};
constexpr Duration abandonedAnswerTimeout = std::chrono::seconds{3};
// Part of the latency objective after which an unanswered read is sent to another endpoint.
constexpr int repeatPercent = 40;
constexpr int wholePercent = 100;
constexpr Duration repeatDelayMin = std::chrono::milliseconds{150};

Duration repeatDelay(const CallerRequest &request)
{
    return std::max(request.route.targetLatency * repeatPercent / wholePercent, repeatDelayMin);
}

/// Whether a connection was assigned, but neither the statement nor an earlier one of its
/// transaction was sent, so that it can be moved to another connection.
bool isBeginning(const CallerSession &session)
{
    const auto &request = *session.request;
    return request.phase == RequestPhase::Beginning
           || (request.phase == RequestPhase::ApplyingValues
               && !(session.transaction && session.transaction->connection == request.connection));
}

} // namespace

std::optional<Instant> Pooler::Impl::nextDeadline() const
{
    auto result = earlier(placementAt_, maintenanceAt_);
    if (!wakes_.empty()) {
        result = earlier(result, wakes_.begin()->first);
    }
    if (shutdown_ && !finished_) {
        result = earlier(result, shutdown_->nextCheckAt);
    }
    return earlier(result, nextLeaseDeadline());
}

void Pooler::Impl::on(pooler::Tick & /*event*/)
{
    while (!wakes_.empty() && wakes_.begin()->first <= now_) {
        const auto id = wakes_.begin()->second;
        wakes_.erase(wakes_.begin());
        if (auto *due = session(id)) {
            due->wakeAt.reset();
            wake(*due);
        }
    }
    if (maintenanceAt_ && *maintenanceAt_ <= now_) {
        maintenanceAt_.reset();
        maintainConnections();
    }
    if (shutdown_ && !finished_ && shutdown_->nextCheckAt <= now_) {
        closeForShutdown();
    }
    if (placementAt_ && *placementAt_ <= now_) {
        placementAt_.reset();
        std::vector<PooledService *> waited;
        for (auto &[name, service] : services_) {
            if (!service.waiting.empty()) {
                waited.push_back(&service);
            }
        }
        for (auto *service : waited) {
            placeWaiting(*service);
        }
    }
}

void Pooler::Impl::schedule(CallerSession &session)
{
    const auto at = nextWake(session);
    if (at == session.wakeAt) {
        return;
    }
    unschedule(session);
    session.wakeAt = at;
    if (at) {
        wakes_.emplace(*at, session.id);
    }
}

void Pooler::Impl::unschedule(CallerSession &session)
{
    if (session.wakeAt) {
        wakes_.erase({*session.wakeAt, session.id});
        session.wakeAt.reset();
    }
}

std::optional<Instant> Pooler::Impl::nextWake(const CallerSession &session) const
{
    if (!session.accepted) {
        return session.connectedAt + startupTimeout;
    }
    if (!session.request) {
        const auto limited = session.transaction && !session.transaction->failed
                             && session.transaction->connection != 0 && document_
                             && document_->transactionIdleTimeout > Duration::zero();
        return limited ? std::optional{session.activeAt + document_->transactionIdleTimeout}
                       : std::nullopt;
    }
    const auto &request = *session.request;
    if (request.phase == RequestPhase::Waiting
        || request.phase == RequestPhase::AwaitingAllowance) {
        return request.waitDeadline;
    }
    if (isBeginning(session)) {
        return request.sentAt + beginTimeout;
    }
    auto at = request.runDeadline;
    const auto probeAt = request.sentAt + silenceProbeDelay;
    if (probeAt > now_) {
        at = std::min(at, probeAt);
    }
    if (!request.writes && !session.transaction) {
        const auto repeat = request.sentAt + repeatDelay(request);
        if (repeat > now_) {
            at = std::min(at, repeat);
        }
    }
    return at;
}

void Pooler::Impl::wake(CallerSession &session)
{
    if (!session.accepted) {
        const auto id = session.id;
        actions_.emplace_back(
            pooler::RefuseCaller{id, AnswerKind::Busy, "no configuration is known yet"});
        sessions_.erase(id);
        return;
    }
    if (!session.request) {
        if (session.transaction) {
            const auto holder = std::exchange(session.transaction->connection, 0);
            session.transaction->lostWhileIdle = true;
            if (auto *held = connection(holder)) {
                release(*held, TransactionState::Open);
            }
        }
        return;
    }
    auto &request = *session.request;
    if (request.phase == RequestPhase::AwaitingAllowance) {
        refuseUnallowed(session, false, "no control host has granted the operation in time");
        return;
    }
    if (request.phase == RequestPhase::Waiting) {
        failWaitingRequest(session);
        return;
    }
    if (isBeginning(session)) {
        const auto used = request.connection;
        if (const auto *slow = connection(used)) {
            if (auto *endpoint = slow->target) {
                startProbe(*endpoint);
            }
        }
        drop(used);
        return;
    }
    handleOverdueRequest(session);
}

void Pooler::Impl::handleOverdueRequest(CallerSession &session)
{
    auto &request = *session.request;
    auto *used = connection(request.connection);
    if (used == nullptr) {
        return;
    }
    auto *endpoint = used->target;
    const auto heard = endpoint != nullptr && endpoint->lastReceivedAt
                       && *endpoint->lastReceivedAt > request.sentAt;
    if (endpoint != nullptr && !heard && now_ >= request.sentAt + silenceProbeDelay) {
        startProbe(*endpoint);
    }
    if (endpoint != nullptr) {
        recordOverdueRead(*endpoint, request, heard);
    }
    const auto commit = session.transaction && request.statement.kind == StatementKind::Commit;
    if (now_ >= request.runDeadline) {
        const auto id = used->id;
        const auto sent = request.phase == RequestPhase::Running;
        if (sent && !request.writes && !session.transaction) {
            recordStatementEnd(session);
            abandon(*used);
            request.connection = 0;
            answer(session, AnswerKind::TimedOut, "no answer within the statement timeout");
        } else if (sent && (commit || !session.transaction)) {
            session.transaction.reset();
            recordStatementEnd(session);
            request.connection = 0;
            used->owner = 0;
            answer(session, AnswerKind::TimedOut, "no answer within the statement timeout");
            drop(id);
        } else {
            drop(id);
        }
        return;
    }
    const auto repeat = !request.writes && !session.transaction
                        && now_ >= request.sentAt + repeatDelay(request)
                        && now_ < request.waitDeadline;
    if (repeat && retries_.trySpend()) {
        const auto avoid = used->endpoint;
        recordStatementEnd(session);
        abandon(*used);
        retry(session, avoid);
        return;
    }
    schedule(session);
}

void Pooler::Impl::schedulePlacement(Instant at)
{
    if (!placementAt_ || at < *placementAt_) {
        placementAt_ = at;
    }
}

void Pooler::Impl::maintainConnections()
{
    std::vector<ConnectionId> overdue;
    std::vector<ConnectionId> spare;
    for (const auto &[id, known] : connections_) {
        if (known.abandonedAt && *known.abandonedAt + abandonedAnswerTimeout <= now_) {
            overdue.push_back(id);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    if (!connections_.empty()) {
        scheduleMaintenance(now_ + maintenanceInterval);
    }
    for (const auto &[name, endpoint] : endpoints_) {
        collectExcessIdle(endpoint, spare);
    }
    for (const auto id : overdue) {
        drop(id);
    }
    for (const auto id : spare) {
        close(id);
    }
}

void Pooler::Impl::collectExcessIdle(const PooledEndpoint &endpoint,
                                     std::vector<ConnectionId> &spare)
{
    const auto shared = isOversubscribed(endpoint);
    const auto kept = shared ? static_cast<std::size_t>(endpoint.isHome)
                             : std::max<std::size_t>(connectionQuota(endpoint) / 2, 2);
    const auto timeout = idleTimeout(endpoint);
    auto count = endpoint.connections.size();
    for (const auto id : endpoint.connections) {
        const auto &known = connections_.at(id);
        if (count <= kept || !known.idle()) {
            continue;
        }
        const auto limit = std::max(timeout, idleTimeMin(known));
        if (known.idleSince + limit <= now_) {
            spare.push_back(id);
            --count;
        } else if (shared) {
            scheduleMaintenance(known.idleSince + limit);
        }
    }
}

void Pooler::Impl::scheduleMaintenance(Instant at)
{
    if (!maintenanceAt_ || at < *maintenanceAt_) {
        maintenanceAt_ = at;
    }
}

} // namespace hyssoprock
