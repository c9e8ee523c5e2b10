#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/limits/exponential_step.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr Duration avoidDelayMin = std::chrono::milliseconds{50};
constexpr Duration avoidDelayMax = std::chrono::milliseconds{800};
constexpr std::uint32_t doublingsMax = 4;
constexpr Duration misroutedAvoidDelay = std::chrono::seconds{1};
constexpr Duration fullRetryDelay = std::chrono::milliseconds{150};
constexpr Duration recentlyFullInterval = std::chrono::seconds{3};
constexpr Duration fullRetryDelayMax = std::chrono::milliseconds{1200};
// An answer within this time proves that an endpoint is reachable.
constexpr Duration evidenceLifetime = std::chrono::milliseconds{100};
// A draining primary accepts work until its successor is primary, but stops before the time limit
// that the platform sets.
constexpr Duration drainingPrimaryGracePeriod = std::chrono::seconds{4};
// Control hosts open their own connections to request positions.
constexpr std::uint32_t reservedConnectionCount = 3;
// Each control host keeps a connection to sample the position of a primary whose services entry
// hosts use rarely, that is, where hosts take turns.
constexpr double samplingConnectionCount = 6.0;
// A transaction holds its connection, so with a single one it would block all other statements.
constexpr std::size_t connectionQuotaMin = 2;
// An endpoint is oversubscribed if an equal share of its connections is below connectionQuotaMin.
// Hosts then open connections on demand, up to this many, and close idle ones early.
constexpr std::size_t oversubscribedQuota = 4;
// Callers are distributed unevenly over hosts. An endpoint refuses connections over its limit.
constexpr double shareRatio = 0.75;
// An oversubscribed endpoint needs a greater reserve: a burst of transactions, or connections that
// the endpoint keeps for seconds after a power loss, must not exhaust it.
constexpr double oversubscribedShareRatio = 0.6;
// With 76 teams on 66 hosts an idle connection was used again in 15% of all cases, so a larger
// share of the connections remains free for those that have to be opened.
constexpr double teamShareRatio = 0.3;
// At an oversubscribed endpoint a connection becomes free when another host's statement ends.
constexpr Duration oversubscribedRetryDelay = std::chrono::milliseconds{40};

// Traffic between data centres is expensive, so a remote endpoint is used only if those in this
// host's data centre are clearly slower.
constexpr Duration sameRegionCost = std::chrono::milliseconds{30};
constexpr Duration remoteCost = std::chrono::milliseconds{60};

Duration distanceCost(Proximity proximity)
{
    switch (proximity) {
    case Proximity::SameDataCentre:
        return Duration::zero();
    case Proximity::SameRegion:
        return sameRegionCost;
    case Proximity::Remote:
        return remoteCost;
    }
    return remoteCost;
}

} // namespace

void Pooler::Impl::on(pooler::EndpointsChanged &event)
{
    std::set<std::string> listed;
    std::set<std::string> services;
    for (auto &record : event.endpoints) {
        listed.insert(record.id);
        services.insert(record.service);
        auto &endpoint = endpoints_[record.id];
        if (endpoint.record.bornMs != record.bornMs || endpoint.record.address != record.address) {
            // A new incarnation shares no connections or failure state with the previous one.
            const auto former = endpoint.connections;
            endpoint = PooledEndpoint{};
            endpoint.record = record;
            if (isFair()) {
                endpoint.openings.restart(now_, random_);
            }
            groupEndpoints();
            for (const auto id : former) {
                drop(id);
            }
        }
        if (endpoint.record.role != EndpointRole::Primary && record.role == EndpointRole::Primary) {
            endpoint.notPrimaryUntil = now_;
        }
        if (record.phase == EndpointPhase::Draining && !endpoint.drainingSince) {
            endpoint.drainingSince = now_;
        } else if (record.phase == EndpointPhase::Ready) {
            endpoint.drainingSince.reset();
        }
        const auto regroup = endpoint.service == nullptr || endpoint.record.role != record.role
                             || endpoint.record.phase != record.phase
                             || endpoint.record.service != record.service
                             || endpoint.record.dataCentre != record.dataCentre;
        endpoint.record = std::move(record);
        if (regroup) {
            groupEndpoints();
        }
        closeIdleIfDraining(endpoint);
    }
    std::vector<std::string> gone;
    for (const auto &[id, endpoint] : endpoints_) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        const auto former = endpoints_.at(id).connections;
        for (const auto connection : former) {
            if (connections_.at(connection).owner == 0) {
                close(connection);
            }
        }
        endpoints_.erase(id);
        groupEndpoints();
    }
    for (const auto &service : services) {
        placeWaiting(services_[service]);
    }
}

void Pooler::Impl::on(pooler::ConnectionOpened &event)
{
    auto *opened = connection(event.connection);
    if (opened == nullptr) {
        return;
    }
    opened->open = true;
    opened->openedAt = now_;
    opened->acquiredAt = now_;
    auto *endpoint = opened->target;
    if (endpoint == nullptr) {
        close(event.connection);
        return;
    }
    endpoint->lastReceivedAt = now_;
    endpoint->consecutiveFailures = 0;
    endpoint->consecutiveRefusals = 0;
    endpoint->openings.recordAccepted(now_);
    endpoint->avoidUntil = now_;
    if (std::exchange(opened->probe, false)) {
        handleProbeResult(*endpoint, Reachability::Reachable);
        if (!teams_.empty()) {
            // It belongs to no team, so it could serve only callers of public routes.
            close(event.connection);
            return;
        }
    }
    auto &service = *endpoint->service;
    opened->idleSince = now_;
    closeIdleIfDraining(*endpoint);
    placeWaiting(service);
    limitIdleTime(*endpoint, event.connection);
}

void Pooler::Impl::on(pooler::ConnectionEnded &event)
{
    auto *ended = connection(event.connection);
    if (ended == nullptr) {
        return;
    }
    const auto opening = !ended->open;
    const auto probe = ended->probe;
    const auto id = ended->endpoint;
    if (auto *known = find(id)) {
        recordConnectionEnd(*known, *ended, event.reason);
    }
    if (auto *endpoint = find(id); endpoint != nullptr && opening) {
        const auto step =
            exponentialBackoff(avoidDelayMin, endpoint->consecutiveFailures, doublingsMax);
        switch (event.reason) {
        case ConnectionFailure::Misrouted:
            endpoint->avoidUntil = now_ + misroutedAvoidDelay;
            break;
        case ConnectionFailure::TooManyConnections:
            endpoint->lastReceivedAt = now_;
            endpoint->fullAt = now_;
            recordFull(*endpoint);
            break;
        case ConnectionFailure::Refused:
        case ConnectionFailure::Silent:
        case ConnectionFailure::Closed:
        case ConnectionFailure::Protocol:
            ++endpoint->consecutiveFailures;
            endpoint->avoidUntil = now_ + std::min(step, avoidDelayMax);
            if (isFair()) {
                endpoint->openings.restart(now_, random_);
            }
            (event.reason == ConnectionFailure::Silent ? endpoint->lastTimeoutAt
                                                       : endpoint->refusedAt) = now_;
            break;
        }
        const auto refused = event.reason == ConnectionFailure::TooManyConnections
                                 ? Reachability::Reachable
                             : event.reason == ConnectionFailure::Silent ? Reachability::Silent
                                                                         : Reachability::Refused;
        log([&]() {
            return "[route] cannot connect to " + id + ": " + std::string{toString(refused)};
        });
        if (probe) {
            handleProbeResult(*endpoint, refused);
        } else if (refused != Reachability::Reachable && endpoint->isPrimary) {
            report(*endpoint, refused);
        }
        if (refused == Reachability::Silent) {
            handleConnectTimeout(*endpoint);
        }
    } else if (endpoint != nullptr && endpoint->isPrimary) {
        // Determines whether the endpoint has failed or only this connection.
        startProbe(*endpoint);
    }
    drop(event.connection);
    if (auto *endpoint = find(id)) {
        placeWaiting(*endpoint->service);
    }
}

void Pooler::Impl::recordFull(PooledEndpoint &endpoint)
{
    if (isFair()) {
        endpoint.openings.recordRefused(now_, random_);
        schedulePlacement(endpoint.openings.pausedUntil());
        return;
    }
    // A refused connection costs the endpoint as much as an accepted one.
    endpoint.fullUntil =
        now_
        + std::min(exponentialBackoff(isOversubscribed(endpoint) ? oversubscribedRetryDelay
                                                                 : fullRetryDelay,
                                      endpoint.consecutiveRefusals, doublingsMax),
                   fullRetryDelayMax);
    endpoint.consecutiveRefusals = std::min(endpoint.consecutiveRefusals + 1, doublingsMax);
    schedulePlacement(endpoint.fullUntil);
}

void Pooler::Impl::on(pooler::EvidenceRequested &event)
{
    auto *endpoint = find(event.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    if (endpoint->lastReceivedAt && *endpoint->lastReceivedAt + evidenceLifetime > now_) {
        report(*endpoint, Reachability::Reachable);
        return;
    }
    endpoint->evidenceRequested = true;
    startProbe(*endpoint);
}

ConnectionId Pooler::Impl::open(PooledEndpoint &endpoint, const std::string &team, bool probe)
{
    const auto id = nextConnection_++;
    PooledConnection opening;
    opening.id = id;
    opening.endpoint = endpoint.record.id;
    opening.team = team;
    opening.target = &endpoint;
    opening.probe = probe;
    opening.requestedAt = now_;
    auto &opened = connections_.emplace(id, std::move(opening)).first->second;
    endpoint.connections.insert(id);
    endpoint.pool.push_back(&opened);
    scheduleMaintenance(now_ + ConnectionUsage::idleTimeoutMax);
    log([&]() {
        return "[route] opening a connection to " + endpoint.record.id + ", "
               + std::to_string(endpoint.connections.size()) + " in all";
    });
    actions_.emplace_back(pooler::OpenConnection{id, endpoint.record.service, endpoint.record.id,
                                                 endpoint.record.address, team});
    return id;
}

void Pooler::Impl::close(ConnectionId id)
{
    const auto *closing = connection(id);
    if (closing == nullptr) {
        return;
    }
    if (auto *endpoint = closing->target) {
        endpoint->connections.erase(id);
        std::erase(endpoint->pool, closing);
        if (endpoint->probeConnection == id) {
            endpoint->probeConnection = 0;
        }
    }
    connections_.erase(id);
    actions_.emplace_back(pooler::CloseConnection{id});
}

void Pooler::Impl::abandon(PooledConnection &connection)
{
    connection.owner = 0;
    connection.abandonedAt = now_;
    scheduleMaintenance(now_ + ConnectionUsage::idleTimeoutMax);
}

void Pooler::Impl::drop(ConnectionId id)
{
    const auto *dropped = connection(id);
    if (dropped == nullptr) {
        return;
    }
    auto *owner = session(dropped->owner);
    const auto endpointId = dropped->endpoint;
    if (owner != nullptr && owner->request && owner->request->connection == id) {
        recordStatementEnd(*owner);
    }
    close(id);
    if (owner == nullptr) {
        return;
    }
    const auto held = owner->transaction && owner->transaction->connection == id;
    if (held) {
        owner->transaction->connection = 0;
    }
    if (!owner->request || owner->request->connection != id) {
        if (held) {
            owner->transaction->lostWhileIdle = true;
        }
        return;
    }
    auto &request = *owner->request;
    request.connection = 0;
    const auto sent = request.phase == RequestPhase::Running;
    if (!sent && !held) {
        // Closing the connection rolls back the empty transaction, if one was begun.
        if (now_ < request.waitDeadline) {
            retry(*owner, endpointId);
        } else {
            failWaitingRequest(*owner);
        }
    } else if (held && request.statement.kind == StatementKind::Commit) {
        owner->transaction.reset();
        if (sent) {
            answer(*owner, AnswerKind::Unknown, "the connection was lost during the commit");
        } else {
            answer(*owner, AnswerKind::Aborted,
                   "the connection was lost before the commit; the transaction is rolled back");
        }
    } else if (held) {
        owner->transaction->failed = true;
        answer(*owner, AnswerKind::Aborted,
               "the connection was lost; the transaction is rolled back");
    } else if (request.writes) {
        answer(*owner, AnswerKind::Unknown, "the connection was lost during the write");
    } else if (now_ < request.waitDeadline) {
        retry(*owner, endpointId);
    } else {
        failWaitingRequest(*owner);
    }
}

void Pooler::Impl::startProbe(PooledEndpoint &endpoint)
{
    if (endpoint.probeConnection == 0) {
        endpoint.probeConnection = open(endpoint, {}, true);
    }
}

void Pooler::Impl::handleProbeResult(PooledEndpoint &endpoint, Reachability found)
{
    endpoint.probeConnection = 0;
    const auto asked = std::exchange(endpoint.evidenceRequested, false);
    if (asked || found != Reachability::Reachable) {
        report(endpoint, found);
    }
}

void Pooler::Impl::handleConnectTimeout(PooledEndpoint &endpoint)
{
    if (!endpoint.lastReceivedAt || *endpoint.lastReceivedAt + evidenceLifetime < now_) {
        handleSilence(endpoint);
    }
}

void Pooler::Impl::handleSilence(const PooledEndpoint &endpoint)
{
    // A write or a commit that was sent may still be answered; the rest is retried elsewhere.
    const auto id = endpoint.record.id;
    const auto affected = endpoint.connections;
    for (const auto connectionId : affected) {
        const auto *used = connection(connectionId);
        if (used == nullptr || !used->open) {
            continue;
        }
        const auto *owner = session(used->owner);
        const auto running = owner != nullptr && owner->request
                             && owner->request->connection == connectionId
                             && owner->request->phase == RequestPhase::Running;
        const auto decisive = running
                              && (owner->request->statement.kind == StatementKind::Commit
                                  || (owner->request->writes && !owner->transaction));
        if (!decisive) {
            drop(connectionId);
        }
        if (find(id) == nullptr) {
            return;
        }
    }
}

void Pooler::Impl::closeIdleIfDraining(PooledEndpoint &endpoint)
{
    const auto leaving = endpoint.record.phase == EndpointPhase::Draining && !endpoint.isPrimary;
    if (!leaving) {
        return;
    }
    const auto known = endpoint.connections;
    for (const auto id : known) {
        if (const auto *idle = connection(id); idle != nullptr && idle->idle()) {
            close(id);
        }
    }
}

std::size_t Pooler::Impl::connectionQuota(const PooledEndpoint &endpoint) const
{
    if (isOversubscribed(endpoint)) {
        return oversubscribedQuota;
    }
    // After an endpoint refused a connection at its limit, each host uses a lower quota for a
    // while.
    return std::max(static_cast<std::size_t>(endpoint.equalShare * shareRatio),
                    isRecentlyFull(endpoint) ? std::size_t{1} : connectionQuotaMin);
}

double Pooler::Impl::equalShare(const PooledEndpoint &endpoint) const
{
    const auto *service = document_ ? findService(*document_, endpoint.record.service) : nullptr;
    if (service == nullptr) {
        return connectionQuotaMin;
    }
    const auto usable = service->connectionsMax > reservedConnectionCount
                            ? service->connectionsMax - reservedConnectionCount
                            : 1;
    return static_cast<double>(usable) / static_cast<double>(entryHosts_);
}

Duration Pooler::Impl::idleTimeout(const PooledEndpoint &endpoint) const
{
    return isOversubscribed(endpoint) ? endpoint.usage.idleTimeout(
               endpoint.turnShare * (teams_.empty() ? oversubscribedShareRatio : teamShareRatio),
               now_)
                                      : ConnectionUsage::idleTimeoutMax;
}

bool Pooler::Impl::isOversubscribed(const PooledEndpoint &endpoint) const
{
    return endpoint.equalShare < static_cast<double>(connectionQuotaMin);
}

bool Pooler::Impl::isRecentlyFull(const PooledEndpoint &endpoint) const
{
    return endpoint.fullAt && *endpoint.fullAt + recentlyFullInterval > now_;
}

void Pooler::Impl::groupEndpoints()
{
    for (auto &[name, service] : services_) {
        service.endpoints.clear();
        service.announcedPrimary = nullptr;
    }
    for (auto &[id, endpoint] : endpoints_) {
        auto &service = services_[endpoint.record.service];
        service.endpoints.push_back(&endpoint);
        if (id == service.primary) {
            service.announcedPrimary = &endpoint;
        }
        endpoint.service = &service;
        endpoint.isPrimary = isPrimary(endpoint);
        endpoint.equalShare = equalShare(endpoint);
        endpoint.distanceCost =
            distanceCost(settings_.topology.proximity(endpoint.record.dataCentre));
    }
    for (auto &[name, service] : services_) {
        setOutlierMembers(service);
        assignHomes(service);
    }
    for (auto &[id, known] : connections_) {
        known.target = find(known.endpoint);
    }
}

void Pooler::Impl::assignHomes(PooledService &service)
{
    // Residents of the primary are chosen apart, so that reads do not take its connections.
    std::vector<PooledEndpoint *> replicas;
    for (auto *endpoint : service.endpoints) {
        endpoint->isHome = false;
        // A connection that is kept open serves a single team, so it would mostly be idle.
        endpoint->turnShare = sharedConnections(*endpoint) / static_cast<double>(entryHosts_);
        if (!teams_.empty() || !isOversubscribed(*endpoint)
            || endpoint->record.phase != EndpointPhase::Ready) {
            continue;
        }
        if (endpoint->isPrimary) {
            assignHomes({endpoint});
        } else {
            replicas.push_back(endpoint);
        }
    }
    assignHomes(replicas);
}

void Pooler::Impl::assignHomes(const std::vector<PooledEndpoint *> &endpoints)
{
    const auto hosts = static_cast<double>(entryHosts_);
    std::vector<HomeCandidate> candidates;
    candidates.reserve(endpoints.size());
    for (const auto *endpoint : endpoints) {
        candidates.push_back(
            {endpoint->record.id, endpoint->record.dataCentre, sharedConnections(*endpoint)});
    }
    const auto assigned = assignHome(settings_.host, settings_.topology, hosts, candidates);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const auto others = hosts - assigned.residents[i];
        const auto left = candidates[i].connections - assigned.residents[i];
        endpoints[i]->isHome = endpoints[i]->record.id == assigned.home;
        endpoints[i]->turnShare = others < 1.0 ? 0.0 : std::max(left, 0.0) / others;
    }
}

double Pooler::Impl::sharedConnections(const PooledEndpoint &endpoint) const
{
    const auto all = endpoint.equalShare * static_cast<double>(entryHosts_);
    return endpoint.isPrimary ? std::max(all - samplingConnectionCount, 1.0) : all;
}

bool Pooler::Impl::isPrimary(const PooledEndpoint &endpoint) const
{
    const auto service = services_.find(endpoint.record.service);
    if (settings_.leasedPrimaries) {
        return service != services_.end() && service->second.primary == endpoint.record.id;
    }
    if (service != services_.end() && !service->second.primary.empty()
        && endpoints_.contains(service->second.primary)) {
        return service->second.primary == endpoint.record.id;
    }
    return endpoint.record.role == EndpointRole::Primary;
}

bool Pooler::Impl::mayTakeWork(const PooledEndpoint &endpoint) const
{
    if (endpoint.avoidUntil > now_) {
        return false;
    }
    if (endpoint.record.phase == EndpointPhase::Ready) {
        return true;
    }
    return endpoint.isPrimary && endpoint.drainingSince
           && *endpoint.drainingSince + drainingPrimaryGracePeriod > now_;
}

PooledEndpoint *Pooler::Impl::find(const std::string &endpoint)
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

PooledConnection *Pooler::Impl::connection(ConnectionId id)
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : &found->second;
}

CallerSession *Pooler::Impl::session(CallerId id)
{
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : &found->second;
}

void Pooler::Impl::report(const PooledEndpoint &endpoint, Reachability reachability)
{
    actions_.emplace_back(
        pooler::ReportEvidence{endpoint.record.service, endpoint.record.id, reachability});
}

} // namespace hyssoprock
