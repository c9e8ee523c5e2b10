#include <algorithm>

#include <hyssoprock/core/earlier.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// A begin occupies no slot, so that only the network delays its answer.
constexpr Duration beginTimeout = std::chrono::milliseconds{200};
// Silence of a primary after which a new connection shows whether it is reachable.
constexpr Duration suspicion = std::chrono::milliseconds{250};
constexpr Duration startupWaitMax = std::chrono::milliseconds{1500};
constexpr Duration housekeepingInterval = std::chrono::milliseconds{500};
constexpr Duration abandonedMax = std::chrono::seconds{3};
// Share of the latency objective after which a read without an answer is sent a second time.
constexpr int repeatPercent = 40;
constexpr int percent = 100;
constexpr Duration repeatLeast = std::chrono::milliseconds{150};

Duration repeatAfter(const CallerRequest &request)
{
    return std::max(request.route.targetLatency * repeatPercent / percent, repeatLeast);
}

} // namespace

std::optional<Instant> Pooler::Impl::nextDeadline() const
{
    auto result = earlier(pumpAt_, housekeepingAt_);
    if (!wakes_.empty()) {
        result = earlier(result, wakes_.begin()->first);
    }
    if (shutdown_ && !finished_) {
        result = earlier(result, shutdown_->checkAt);
    }
    return result;
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
    if (housekeepingAt_ && *housekeepingAt_ <= now_) {
        housekeepingAt_.reset();
        housekeep();
    }
    if (shutdown_ && !finished_ && shutdown_->checkAt <= now_) {
        closeForShutdown();
    }
    if (pumpAt_ && *pumpAt_ <= now_) {
        pumpAt_.reset();
        std::vector<PooledService *> waited;
        for (auto &[name, service] : services_) {
            if (!service.waiting.empty()) {
                waited.push_back(&service);
            }
        }
        for (auto *service : waited) {
            pump(*service);
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
        return session.arrivedAt + startupWaitMax;
    }
    if (!session.request) {
        const auto limited = session.transaction && !session.transaction->failed
                             && session.transaction->connection != 0 && document_
                             && document_->transactionIdleTimeout > Duration::zero();
        return limited ? std::optional{session.activeAt + document_->transactionIdleTimeout}
                       : std::nullopt;
    }
    const auto &request = *session.request;
    if (request.phase == RequestPhase::Waiting) {
        return request.waitDeadline;
    }
    if (request.phase == RequestPhase::Beginning) {
        return request.sentAt + beginTimeout;
    }
    auto at = request.runDeadline;
    const auto suspicious = request.sentAt + suspicion;
    if (suspicious > now_) {
        at = std::min(at, suspicious);
    }
    if (!request.writes && !session.transaction) {
        const auto repeat = request.sentAt + repeatAfter(request);
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
            session.transaction->lost = true;
            if (auto *held = connection(holder)) {
                release(*held, TransactionState::Open);
            }
        }
        return;
    }
    auto &request = *session.request;
    if (request.phase == RequestPhase::Waiting) {
        giveUp(session);
        return;
    }
    if (request.phase == RequestPhase::Beginning) {
        const auto used = request.connection;
        if (const auto *slow = connection(used)) {
            if (auto *endpoint = slow->target) {
                startProbe(*endpoint);
            }
        }
        drop(used);
        return;
    }
    requestOverdue(session);
}

void Pooler::Impl::requestOverdue(CallerSession &session)
{
    auto &request = *session.request;
    auto *used = connection(request.connection);
    if (used == nullptr) {
        return;
    }
    auto *endpoint = used->target;
    const auto heard =
        endpoint != nullptr && endpoint->heardAt && *endpoint->heardAt > request.sentAt;
    if (endpoint != nullptr && !heard && now_ >= request.sentAt + suspicion) {
        startProbe(*endpoint);
    }
    const auto commit = session.transaction && request.statement.kind == StatementKind::Commit;
    if (now_ >= request.runDeadline) {
        const auto id = used->id;
        if (!request.writes && !session.transaction) {
            stopRunning(session);
            abandon(*used);
            request.connection = 0;
            answer(session, AnswerKind::TimedOut, "no answer within the statement timeout");
        } else if (commit || !session.transaction) {
            session.transaction.reset();
            stopRunning(session);
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
                        && now_ >= request.sentAt + repeatAfter(request)
                        && now_ < request.waitDeadline;
    if (repeat && retries_.trySpend()) {
        const auto avoid = used->endpoint;
        stopRunning(session);
        abandon(*used);
        retry(session, avoid);
        return;
    }
    schedule(session);
}

void Pooler::Impl::pumpBy(Instant at)
{
    if (!pumpAt_ || at < *pumpAt_) {
        pumpAt_ = at;
    }
}

void Pooler::Impl::housekeep()
{
    std::vector<ConnectionId> overdue;
    std::vector<ConnectionId> spare;
    for (const auto &[id, known] : connections_) {
        if (known.abandonedAt && *known.abandonedAt + abandonedMax <= now_) {
            overdue.push_back(id);
        }
    }
    if (!connections_.empty()) {
        housekeepBy(now_ + housekeepingInterval);
    }
    for (const auto &[name, endpoint] : endpoints_) {
        findSpare(endpoint, spare);
    }
    for (const auto id : overdue) {
        drop(id);
    }
    for (const auto id : spare) {
        close(id);
    }
}

void Pooler::Impl::findSpare(const PooledEndpoint &endpoint, std::vector<ConnectionId> &spare)
{
    const auto shared = isShared(endpoint);
    const auto kept = shared ? 0 : std::max<std::size_t>(share(endpoint) / 2, 2);
    const auto limit = idleLimit(endpoint);
    auto count = endpoint.connections.size();
    for (const auto id : endpoint.connections) {
        const auto &known = connections_.at(id);
        if (count <= kept || !known.idle()) {
            continue;
        }
        if (known.idleSince + limit <= now_) {
            spare.push_back(id);
            --count;
        } else if (shared) {
            housekeepBy(known.idleSince + limit);
        }
    }
}

void Pooler::Impl::housekeepBy(Instant at)
{
    if (!housekeepingAt_ || at < *housekeepingAt_) {
        housekeepingAt_ = at;
    }
}

} // namespace hyssoprock
