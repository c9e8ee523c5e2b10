#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/limits/exponential_step.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr Duration avoidFirst = std::chrono::milliseconds{50};
constexpr Duration avoidMost = std::chrono::milliseconds{800};
constexpr std::uint32_t doublingsMax = 4;
constexpr Duration misroutedPause = std::chrono::seconds{1};
constexpr Duration fullPause = std::chrono::milliseconds{150};
constexpr Duration scarceFor = std::chrono::seconds{3};
constexpr Duration fullPauseMost = std::chrono::milliseconds{1200};
// Answers that arrived this lately count as proof that an endpoint is reachable.
constexpr Duration recently = std::chrono::milliseconds{100};
// A draining primary takes work until its successor leads, but not up to the bound that the
// platform sets.
constexpr Duration drainingPrimaryMax = std::chrono::seconds{4};
// Control hosts open connections of their own to ask for positions.
constexpr std::uint32_t reservedConnections = 3;
// A transaction holds its connection, so one alone would block every other statement.
constexpr std::size_t shareLeast = 2;
// Where an equal share is less than that, hosts take turns: each opens connections as it needs them
// and closes those that it does not use.
constexpr std::size_t sharedMost = 4;
// Callers are spread unevenly over hosts. An endpoint refuses what is too much.
constexpr double shareRatio = 0.75;
// Hosts that take turns leave more room: a burst of transactions, or connections that the endpoint
// keeps for seconds after a power loss, must not use up the rest.
constexpr double sharedRatio = 0.6;
// Hosts that take turns wait for the end of a statement rather than for a closed connection.
constexpr Duration sharedPause = std::chrono::milliseconds{40};

// Bytes between data centres are expensive, so an endpoint there is used only if the one in the
// own data centre is clearly slower.
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
            // A new incarnation has nothing in common with the former one.
            const auto former = endpoint.connections;
            endpoint = PooledEndpoint{};
            endpoint.record = record;
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
                             || endpoint.record.service != record.service
                             || endpoint.record.dataCentre != record.dataCentre;
        endpoint.record = std::move(record);
        if (regroup) {
            groupEndpoints();
        }
        trim(endpoint);
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
        pump(services_[service]);
    }
}

void Pooler::Impl::on(pooler::ConnectionOpened &event)
{
    auto *opened = connection(event.connection);
    if (opened == nullptr) {
        return;
    }
    opened->open = true;
    opened->usedAt = now_;
    auto *endpoint = opened->target;
    if (endpoint == nullptr) {
        close(event.connection);
        return;
    }
    endpoint->heardAt = now_;
    endpoint->failures = 0;
    endpoint->refusals = 0;
    endpoint->avoidUntil = now_;
    if (std::exchange(opened->probe, false)) {
        probeEnded(*endpoint, Reachability::Reachable);
    }
    auto &service = *endpoint->service;
    opened->idleSince = now_;
    trim(*endpoint);
    pump(service);
    limitIdle(*endpoint, event.connection);
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
    if (auto *endpoint = find(id); endpoint != nullptr && opening) {
        const auto step = exponentialBackoff(avoidFirst, endpoint->failures, doublingsMax);
        switch (event.reason) {
        case ConnectionFailure::Misrouted:
            endpoint->avoidUntil = now_ + misroutedPause;
            break;
        case ConnectionFailure::TooManyConnections:
            endpoint->heardAt = now_;
            // Each refused connection costs the endpoint as much as one that it accepts.
            endpoint->fullUntil =
                now_
                + std::min(exponentialBackoff(isShared(*endpoint) ? sharedPause : fullPause,
                                              endpoint->refusals, doublingsMax),
                           fullPauseMost);
            endpoint->fullAt = now_;
            endpoint->refusals = std::min(endpoint->refusals + 1, doublingsMax);
            pumpBy(endpoint->fullUntil);
            break;
        case ConnectionFailure::Refused:
        case ConnectionFailure::Silent:
        case ConnectionFailure::Closed:
        case ConnectionFailure::Protocol:
            ++endpoint->failures;
            endpoint->avoidUntil = now_ + std::min(step, avoidMost);
            (event.reason == ConnectionFailure::Silent ? endpoint->silentAt : endpoint->refusedAt) =
                now_;
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
            probeEnded(*endpoint, refused);
        } else if (refused != Reachability::Reachable && endpoint->isPrimary) {
            report(*endpoint, refused);
        }
        if (refused == Reachability::Silent) {
            endpointSilent(*endpoint);
        }
    } else if (endpoint != nullptr && endpoint->isPrimary) {
        // Shows at once whether the endpoint has ended or only this connection.
        startProbe(*endpoint);
    }
    drop(event.connection);
    if (auto *endpoint = find(id)) {
        pump(*endpoint->service);
    }
}

void Pooler::Impl::on(pooler::EvidenceRequested &event)
{
    auto *endpoint = find(event.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    if (endpoint->heardAt && *endpoint->heardAt + recently > now_) {
        report(*endpoint, Reachability::Reachable);
        return;
    }
    endpoint->evidenceAsked = true;
    startProbe(*endpoint);
}

ConnectionId Pooler::Impl::open(PooledEndpoint &endpoint, bool probe)
{
    const auto id = nextConnection_++;
    PooledConnection opening;
    opening.id = id;
    opening.endpoint = endpoint.record.id;
    opening.target = &endpoint;
    opening.probe = probe;
    opening.openedAt = now_;
    auto &opened = connections_.emplace(id, std::move(opening)).first->second;
    endpoint.connections.insert(id);
    endpoint.pool.push_back(&opened);
    housekeepBy(now_ + ConnectionUsage::idleMax);
    log([&]() {
        return "[route] opening a connection to " + endpoint.record.id + ", "
               + std::to_string(endpoint.connections.size()) + " in all";
    });
    actions_.emplace_back(pooler::OpenConnection{id, endpoint.record.service, endpoint.record.id,
                                                 endpoint.record.address});
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
        if (endpoint->probe == id) {
            endpoint->probe = 0;
        }
    }
    connections_.erase(id);
    actions_.emplace_back(pooler::CloseConnection{id});
}

void Pooler::Impl::abandon(PooledConnection &connection)
{
    connection.owner = 0;
    connection.abandonedAt = now_;
    housekeepBy(now_ + ConnectionUsage::idleMax);
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
        stopRunning(*owner);
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
            owner->transaction->lost = true;
        }
        return;
    }
    auto &request = *owner->request;
    request.connection = 0;
    if (request.phase == RequestPhase::Beginning) {
        // Closing the connection rolls an empty transaction back.
        if (now_ < request.waitDeadline) {
            retry(*owner, endpointId);
        } else {
            giveUp(*owner);
        }
    } else if (held && request.statement.kind == StatementKind::Commit) {
        owner->transaction.reset();
        answer(*owner, AnswerKind::Unknown, "the connection broke during the commit");
    } else if (held) {
        owner->transaction->failed = true;
        answer(*owner, AnswerKind::Aborted, "the connection broke, the transaction is rolled back");
    } else if (request.writes) {
        answer(*owner, AnswerKind::Unknown, "the connection broke during the write");
    } else if (now_ < request.waitDeadline) {
        retry(*owner, endpointId);
    } else {
        giveUp(*owner);
    }
}

void Pooler::Impl::startProbe(PooledEndpoint &endpoint)
{
    if (endpoint.probe == 0) {
        endpoint.probe = open(endpoint, true);
    }
}

void Pooler::Impl::probeEnded(PooledEndpoint &endpoint, Reachability found)
{
    endpoint.probe = 0;
    const auto asked = std::exchange(endpoint.evidenceAsked, false);
    if (asked || found != Reachability::Reachable) {
        report(endpoint, found);
    }
}

void Pooler::Impl::endpointSilent(PooledEndpoint &endpoint)
{
    if (!endpoint.heardAt || *endpoint.heardAt + recently < now_) {
        fallSilent(endpoint);
    }
}

void Pooler::Impl::fallSilent(const PooledEndpoint &endpoint)
{
    // A write or a commit that was sent may still be answered; all else runs elsewhere.
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

void Pooler::Impl::trim(PooledEndpoint &endpoint)
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

std::size_t Pooler::Impl::share(const PooledEndpoint &endpoint) const
{
    if (isShared(endpoint)) {
        return sharedMost;
    }
    // An endpoint that has none to spare gets one connection from each host for a while.
    return std::max(static_cast<std::size_t>(endpoint.equalShare * shareRatio),
                    isScarce(endpoint) ? std::size_t{1} : shareLeast);
}

double Pooler::Impl::equalShare(const PooledEndpoint &endpoint) const
{
    const auto *service = document_ ? findService(*document_, endpoint.record.service) : nullptr;
    if (service == nullptr) {
        return shareLeast;
    }
    const auto usable = service->connectionsMax > reservedConnections
                            ? service->connectionsMax - reservedConnections
                            : 1;
    return static_cast<double>(usable) / static_cast<double>(entryHosts_);
}

Duration Pooler::Impl::idleLimit(const PooledEndpoint &endpoint) const
{
    return isShared(endpoint) ? endpoint.use.idleLimit(endpoint.equalShare * sharedRatio, now_)
                              : ConnectionUsage::idleMax;
}

bool Pooler::Impl::isShared(const PooledEndpoint &endpoint) const
{
    return endpoint.equalShare < static_cast<double>(shareLeast);
}

bool Pooler::Impl::isScarce(const PooledEndpoint &endpoint) const
{
    return endpoint.fullAt && *endpoint.fullAt + scarceFor > now_;
}

void Pooler::Impl::groupEndpoints()
{
    for (auto &[name, service] : services_) {
        service.endpoints.clear();
        service.namedPrimary = nullptr;
    }
    for (auto &[id, endpoint] : endpoints_) {
        auto &service = services_[endpoint.record.service];
        service.endpoints.push_back(&endpoint);
        if (id == service.primary) {
            service.namedPrimary = &endpoint;
        }
        endpoint.service = &service;
        endpoint.isPrimary = isPrimary(endpoint);
        endpoint.equalShare = equalShare(endpoint);
        endpoint.distanceCost =
            distanceCost(settings_.topology.proximity(endpoint.record.dataCentre));
    }
    for (auto &[id, known] : connections_) {
        known.target = find(known.endpoint);
    }
}

bool Pooler::Impl::isPrimary(const PooledEndpoint &endpoint) const
{
    const auto service = services_.find(endpoint.record.service);
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
           && *endpoint.drainingSince + drainingPrimaryMax > now_;
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
