#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// Opening a connection takes a slot of the endpoint and a few round trips.
constexpr Duration openingCost = std::chrono::milliseconds{15};
// Where hosts take turns, the slot that an opening occupies is missing to the statements of all
// hosts.
constexpr Duration scarceOpeningCost = std::chrono::milliseconds{60};
// Where there are fewer connections than hosts need, those of a primary are reserved for the
// statements that only it can run.
constexpr Duration primaryCost = std::chrono::milliseconds{100};
constexpr Duration placementRetryInterval = std::chrono::milliseconds{10};
// Allows for the drift between the hosts' clocks.
constexpr Duration stalenessMargin = std::chrono::milliseconds{20};

} // namespace

void Pooler::Impl::dispatch(CallerSession &session)
{
    check(session.request.has_value(), "only a session with a statement is dispatched");
    auto &request = *session.request;
    if (session.transaction && session.transaction->connection != 0) {
        auto *held = connection(session.transaction->connection);
        check(held != nullptr && held->owner == session.id,
              "an open transaction has its own connection");
        // The analyzer does not see that check() ends the process if the pointer is null.
        // NOLINTNEXTLINE(clang-analyzer-core.NonNullParamChecker)
        sendStatement(session, *held);
        return;
    }
    request.phase = RequestPhase::Waiting;
    request.connection = 0;
    auto &service = *request.service;
    // With other statements waiting, connections are opened in their order.
    const auto inOrder = isFair() && !service.waiting.empty();
    if (!tryPlace(session, !inOrder)) {
        enqueueWaiting(session);
        if (inOrder) {
            placeWaiting(service);
        }
    }
}

bool Pooler::Impl::tryPlace(CallerSession &session, bool mayOpen)
{
    const auto &service = *session.request->service;
    const auto &team = session.request->team;
    const auto waiters = waitingOf(service, team) + (service.waiting.contains(session.id) ? 0 : 1);
    auto opening = !mayOpen;
    const auto onlyPrimary = findPlacements(session);
    if (onlyPrimary && leaseEnded_ && needsLease(session)) {
        // It is not known when a control host can be reached again; another entry host may be able
        // to run the statement now.
        failWaitingRequest(session, "this host has no lease on the primary");
        return true;
    }
    for (const auto &placement : placements_) {
        auto &endpoint = *placement.endpoint;
        if (auto *idle = idleConnection(endpoint, team, session.values)) {
            attach(session, *idle, placement);
            return true;
        }
        if (opening) {
            continue;
        }
        const auto underWay = std::count_if(
            endpoint.pool.begin(), endpoint.pool.end(),
            [&team](const PooledConnection *known) { return !known->open && known->team == team; });
        if (static_cast<std::size_t>(underWay) >= waiters) {
            opening = true;
        } else if (this->mayOpen(endpoint) && makeRoom(endpoint, team)) {
            open(endpoint, team, false);
            opening = true;
        }
    }
    return false;
}

std::size_t Pooler::Impl::waitingOf(const PooledService &service, const std::string &team) const
{
    if (teams_.empty()) {
        return service.waiting.size();
    }
    return service.waiting.waitingOf(team);
}

bool Pooler::Impl::makeRoom(const PooledEndpoint &endpoint, const std::string &team)
{
    const auto allowed = endpoint.connections.size() < connectionQuota(endpoint);
    if (allowed && !isRecentlyFull(endpoint)) {
        return true;
    }
    // An endpoint at its limit accepts a connection only if another one is closed.
    return evictIdle(endpoint, team) || allowed;
}

bool Pooler::Impl::evictIdle(const PooledEndpoint &endpoint, const std::string &team)
{
    const PooledConnection *oldest = nullptr;
    auto oldestAwaited = false;
    for (const auto *known : endpoint.pool) {
        if (!known->idle() || known->team == team) {
            continue;
        }
        const auto awaited = waitingOf(*endpoint.service, known->team) > 0;
        if (oldest != nullptr
            && std::pair{oldestAwaited, oldest->idleSince}
                   <= std::pair{awaited, known->idleSince}) {
            continue;
        }
        if (!awaited || mayYield(*known, team)) {
            oldest = known;
            oldestAwaited = awaited;
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    close(oldest->id);
    return true;
}

void Pooler::Impl::enqueueWaiting(CallerSession &session)
{
    if (isFair()) {
        enqueueFairly(session);
        return;
    }
    session.request->service->waiting.push(waitingStatement(session));
    schedule(session);
}

void Pooler::Impl::removeWaiting(const CallerSession &session)
{
    if (session.request && session.request->phase == RequestPhase::AwaitingAllowance) {
        stopAwaitingAllowance(session);
    } else if (session.request) {
        session.request->service->waiting.remove(session.id);
    }
}

void Pooler::Impl::placeWaiting(PooledService &service)
{
    if (service.waiting.empty()) {
        return;
    }
    if (isFair()) {
        placeFairly(service);
        return;
    }
    for (const auto id : service.waiting.priorityOrder()) {
        auto *waiter = session(id);
        if (waiter == nullptr || !waiter->request
            || waiter->request->phase != RequestPhase::Waiting) {
            continue;
        }
        static_cast<void>(tryPlace(*waiter));
    }
}

bool Pooler::Impl::findPlacements(const CallerSession &session)
{
    placements_.clear();
    const auto &request = *session.request;
    const auto &service = *request.service;
    if (request.needsPrimary) {
        findPrimaryPlacements(service, needsLease(session));
        return true;
    }
    const auto staleness = request.route.staleness;
    auto demand = service.history.requiredPosition(
        request.freshAsOf, staleness > stalenessMargin ? staleness - stalenessMargin : staleness);
    if (!demand) {
        // There is no recent sample; the primary's answer provides one.
        findPrimaryPlacements(service, needsLease(session));
        return true;
    }
    if (request.route.readConsistency == ReadConsistency::ReadOwnWrites) {
        if (const auto floor = session.floor.establishedPosition(request.route.service)) {
            demand = std::max(*demand, service.history.translateToNewestTerm(*floor));
        }
    }
    for (auto *endpoint : service.endpoints) {
        if (!mayTakeWork(*endpoint)) {
            continue;
        }
        if (endpoint->laggingUntil > now_ && *demand >= endpoint->laggingBelow) {
            schedulePlacement(endpoint->laggingUntil);
            continue;
        }
        if (std::find(request.excludedEndpoints.begin(), request.excludedEndpoints.end(),
                      endpoint->record.id)
            == request.excludedEndpoints.end()) {
            placements_.push_back({endpoint, false, demand});
        }
    }
    avoidOutliers(session);
    if (placements_.empty()) {
        // The primary holds every commit and so satisfies any required position.
        findPrimaryPlacements(service, needsLease(session));
    } else if (settings_.evenBalancing) {
        rankPlacements(request);
    } else if (placements_.size() > 1) {
        for (auto &placement : placements_) {
            placement.cost = cost(*placement.endpoint, request.team);
        }
        std::sort(
            placements_.begin(), placements_.end(),
            [](const Placement &left, const Placement &right) { return left.cost < right.cost; });
    }
    return false;
}

void Pooler::Impl::findPrimaryPlacements(const PooledService &service, bool needsLease)
{
    const auto consider = [this](PooledEndpoint &endpoint) {
        if (!mayTakeWork(endpoint)) {
            return;
        }
        if (endpoint.notPrimaryUntil > now_) {
            schedulePlacement(endpoint.notPrimaryUntil);
            return;
        }
        placements_.push_back({&endpoint, true, std::nullopt});
    };
    if (service.announcedPrimary != nullptr && (!needsLease || hasLease())) {
        consider(*service.announcedPrimary);
    }
    if (needsLease) {
        return;
    }
    for (auto *endpoint : service.endpoints) {
        if (endpoint != service.announcedPrimary
            && endpoint->record.role == EndpointRole::Primary) {
            // While the announced primary can be used, another endpoint in that role is outdated.
            if (placements_.empty()) {
                consider(*endpoint);
            }
        }
    }
}

Duration Pooler::Impl::cost(const PooledEndpoint &endpoint, const std::string &team) const
{
    const auto slots = std::max<std::int64_t>(endpoint.record.slots, 1);
    auto result = endpoint.expectedLatency(now_);
    result += result * static_cast<std::int64_t>(endpoint.statementsInFlight) / slots;
    result += endpoint.distanceCost;
    if (endpoint.isPrimary && isOversubscribed(endpoint)) {
        result += primaryCost;
    }
    if (hasIdleConnection(endpoint, team)) {
        return result;
    }
    return result
           + (isOversubscribed(endpoint) && !endpoint.isHome ? scarceOpeningCost : openingCost);
}

bool Pooler::Impl::hasIdleConnection(const PooledEndpoint &endpoint, const std::string &team)
{
    return std::any_of(
        endpoint.pool.begin(), endpoint.pool.end(),
        [&team](const PooledConnection *known) { return known->idle() && known->team == team; });
}

PooledConnection *Pooler::Impl::idleConnection(const PooledEndpoint &endpoint,
                                               const std::string &team, const SessionValues &values)
{
    PooledConnection *best = nullptr;
    auto bestMatch = ConnectionValues::Match::Reset;
    for (auto *candidate : endpoint.pool) {
        if (!candidate->idle() || candidate->team != team) {
            continue;
        }
        const auto match = candidate->values.match(values);
        if (best == nullptr || match > bestMatch
            || (match == bestMatch && candidate->acquiredAt > best->acquiredAt)) {
            best = candidate;
            bestMatch = match;
        }
    }
    return best;
}

void Pooler::Impl::attach(CallerSession &session, PooledConnection &connection,
                          const Placement &placement)
{
    auto &request = *session.request;
    request.service->waiting.take(session.id, now_);
    auto &endpoint = *placement.endpoint;
    check(connection.idle(), "a connection serves one session at a time");
    connection.owner = session.id;
    connection.acquiredAt = now_;
    endpoint.usage.recordAcquired(now_);
    request.connection = connection.id;
    request.implicitTransaction = false;
    request.readWriteBegin = false;
    request.requiredPosition = placement.after;
    ++request.attempts;
    beginTrial(placement);
    log([&]() {
        return "[route] statement " + request.statement.id + " of " + session.database + " goes to "
               + endpoint.record.id + " in " + endpoint.record.dataCentre
               + (placement.asPrimary ? " as primary"
                  : placement.after   ? " after " + toString(*placement.after)
                                      : "");
    });
    const auto single = !session.transaction;
    if (single && (request.writes || !placement.asPrimary)) {
        check(request.writes || placement.after.has_value(),
              "a read outside a transaction has a required position");
        sendStatement(session, connection);
        return;
    }
    EndpointCommand begin;
    const auto readWrite = placement.asPrimary || !session.transaction->readOnly;
    begin.kind = readWrite ? EndpointCommandKind::Begin : EndpointCommandKind::BeginReadOnly;
    begin.after = readWrite ? std::nullopt : placement.after;
    check(readWrite || begin.after.has_value(), "a read-only transaction has a required position");
    request.implicitTransaction = single;
    request.readWriteBegin = readWrite;
    request.phase = RequestPhase::Beginning;
    request.sentAt = now_;
    // The statement waits for the answer to the begin, and so for those to the values as well.
    applyValues(session, connection);
    send(connection, std::move(begin), CommandPurpose::Begin);
    schedule(session);
}

bool Pooler::Impl::applyValues(CallerSession &session, PooledConnection &connection)
{
    auto &request = *session.request;
    if (request.statement.kind == StatementKind::Execute) {
        request.preparedName = preparedNames_.nameOf(request.prepared);
    }
    std::vector<EndpointCommand> setup;
    connection.values.prepareFor(session.values, request.preparedName, request.prepared, setup);
    for (auto &command : setup) {
        send(connection, std::move(command), CommandPurpose::Setup);
    }
    return !setup.empty();
}

void Pooler::Impl::sendStatement(CallerSession &session, PooledConnection &connection)
{
    if (!applyValues(session, connection)) {
        forwardStatement(session, connection);
        return;
    }
    // A statement sent along with the commands would run even if the endpoint refused one of them.
    auto &request = *session.request;
    request.connection = connection.id;
    request.phase = RequestPhase::ApplyingValues;
    request.sentAt = now_;
    schedule(session);
}

void Pooler::Impl::forwardStatement(CallerSession &session, PooledConnection &connection)
{
    auto &request = *session.request;
    EndpointCommand command;
    command.id = request.statement.id;
    if (!session.transaction && !request.implicitTransaction) {
        // In a transaction the begin has named the position.
        command.after = request.requiredPosition;
    }
    if (request.statement.kind == StatementKind::Execute) {
        command.kind = EndpointCommandKind::Execute;
        command.name = request.preparedName;
        command.argument = request.statement.argument;
    } else {
        command.kind = EndpointCommandKind::Forward;
        command.text = request.statement.text;
    }
    request.connection = connection.id;
    request.phase = RequestPhase::Running;
    request.sentAt = now_;
    if (auto *endpoint = connection.target) {
        ++endpoint->statementsInFlight;
    }
    send(connection, std::move(command), CommandPurpose::Statement);
    schedule(session);
}

void Pooler::Impl::send(PooledConnection &connection, EndpointCommand command,
                        CommandPurpose purpose)
{
    connection.pending.push_back({purpose, now_});
    actions_.emplace_back(pooler::SendCommand{connection.id, std::move(command)});
}

void Pooler::Impl::retry(CallerSession &session, const std::string &avoid)
{
    auto &request = *session.request;
    if (!avoid.empty()
        && std::find(request.excludedEndpoints.begin(), request.excludedEndpoints.end(), avoid)
               == request.excludedEndpoints.end()) {
        request.excludedEndpoints.push_back(avoid);
    }
    request.phase = RequestPhase::Waiting;
    request.connection = 0;
    if (!tryPlace(session)) {
        enqueueWaiting(session);
        schedulePlacement(now_ + placementRetryInterval);
    }
}

void Pooler::Impl::failWaitingRequest(CallerSession &session, std::string reason)
{
    removeWaiting(session);
    if (session.transaction && session.request->statement.kind == StatementKind::Commit) {
        session.transaction.reset();
    } else if (session.transaction) {
        session.transaction->failed = true;
    }
    answer(session, AnswerKind::Busy, std::move(reason));
}

} // namespace hyssoprock
