#include "endpoint_group_simulation.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::test {

namespace {

StatementAnswer error(AnswerKind kind)
{
    StatementAnswer result;
    result.kind = kind;
    return result;
}

} // namespace

EndpointGroupSimulation::EndpointGroupSimulation(std::uint64_t seed, GroupSettings settings,
                                                 CallerExpectations &expectations)
    : random_{seed}
    , settings_{std::move(settings)}
    , expectations_{expectations}
{
    for (std::size_t i = 1; i <= settings_.endpoints; ++i) {
        const auto id = settings_.prefix + std::to_string(i);
        add(id, id + ":1", 1);
    }
    primary_ = settings_.prefix + "1";
    termStartIndex_[term_] = 0;
    serial_ = settings_.numberMin;
    transaction_ = settings_.numberMin;
}

void EndpointGroupSimulation::add(const std::string &id, const std::string &address,
                                  std::uint64_t bornMs)
{
    auto &endpoint = endpoints_[id];
    endpoint.id = id;
    endpoint.address = address;
    endpoint.bornMs = bornMs;
    endpoint.slots = settings_.slots;
    endpoint.replicationDelay = settings_.replicationDelay;
    endpoint.term = term_;
}

Instant EndpointGroupSimulation::delayedUntil(ConnectionId id, const Endpoint &endpoint,
                                              bool inbound) const
{
    return connectionDelayedUntil ? std::max(endpoint.trafficDelayedUntil,
                                             connectionDelayedUntil(id, endpoint.id, inbound))
                                  : endpoint.trafficDelayedUntil;
}

void EndpointGroupSimulation::schedule(Instant time, std::function<void()> callback)
{
    scheduled_.emplace(std::max(time, now_), std::move(callback));
}

std::optional<Instant> EndpointGroupSimulation::nextEventAt() const
{
    return scheduled_.empty() ? std::nullopt : std::optional{scheduled_.begin()->first};
}

std::optional<PoolerEvent> EndpointGroupSimulation::advance(Instant now)
{
    while (!event_ && !scheduled_.empty() && scheduled_.begin()->first <= now) {
        now_ = std::max(now_, scheduled_.begin()->first);
        const auto callback = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        callback();
    }
    now_ = std::max(now_, now);
    return std::exchange(event_, std::nullopt);
}

void EndpointGroupSimulation::execute(const PoolerAction &action, Instant now)
{
    now_ = std::max(now_, now);
    if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
        auto &connection = connections_[open->connection];
        check(connection.id == 0, "a connection id is never reused");
        connection.id = open->connection;
        connection.endpoint = open->endpoint;
        schedule(now_ + draw(settings_.network), [this, copy = *open]() { handleOpen(copy); });
    } else if (const auto *send = std::get_if<pooler::SendCommand>(&action)) {
        auto &connection = connections_.at(send->connection);
        check(connection.knownToPooler, "nothing is sent on a connection that has ended");
        expectations_.recordCommand(send->connection, send->command);
        connection.inbound.push_back(send->command);
        connection.lastInbound = std::max(connection.lastInbound, now_ + draw(settings_.network));
        schedule(connection.lastInbound, [this, id = send->connection]() { handleCommand(id); });
    } else if (const auto *close = std::get_if<pooler::CloseConnection>(&action)) {
        auto &connection = connections_.at(close->connection);
        connection.knownToPooler = false;
        connection.lastInbound = std::max(connection.lastInbound, now_ + draw(settings_.network));
        schedule(connection.lastInbound, [this, id = close->connection]() { handleClose(id); });
    }
}

void EndpointGroupSimulation::handleOpen(const pooler::OpenConnection &open)
{
    const auto found = endpoints_.find(open.endpoint);
    auto &connection = connections_.at(open.connection);
    const auto listener = listenerAt ? listenerAt(open.address) : open.endpoint;
    if (listener.empty() || found == endpoints_.end() || found->second.refuses
        || (listener == open.endpoint && !found->second.up)) {
        schedule(now_ + draw(settings_.network),
                 [this, id = open.connection]() { notifyEnded(id, ConnectionFailure::Refused); });
        return;
    }
    auto &endpoint = found->second;
    if (listener != open.endpoint) {
        schedule(now_ + draw(settings_.network),
                 [this, id = open.connection]() { notifyEnded(id, ConnectionFailure::Misrouted); });
        return;
    }
    if (delayedUntil(open.connection, endpoint, true) > now_) {
        schedule(now_ + settings_.connectTimeout,
                 [this, id = open.connection]() { notifyEnded(id, ConnectionFailure::Silent); });
        return;
    }
    if (connections(endpoint.id).size() >= settings_.connectionsMax) {
        schedule(now_ + draw(settings_.network), [this, id = open.connection]() {
            notifyEnded(id, ConnectionFailure::TooManyConnections);
        });
        return;
    }
    check(open.service == settings_.service, "a connection names the service of its endpoint");
    connection.open = true;
    connection.team = open.team;
    connection.incarnation = endpoint.incarnation;
    connection.lastOutbound = now_ + draw(settings_.network);
    schedule(connection.lastOutbound, [this, id = open.connection]() { notifyOpened(id); });
}

void EndpointGroupSimulation::notifyOpened(ConnectionId id)
{
    const auto &connection = connections_.at(id);
    if (const auto until = delayedUntil(id, endpoints_.at(connection.endpoint), false);
        until > now_ && connection.knownToPooler) {
        schedule(until, [this, id]() { notifyOpened(id); });
    } else if (connection.knownToPooler) {
        event_.emplace(pooler::ConnectionOpened{id});
    }
}

void EndpointGroupSimulation::handleCommand(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (connection.inbound.empty() || !connection.open) {
        return;
    }
    auto &endpoint = endpoints_.at(connection.endpoint);
    if (const auto until = delayedUntil(id, endpoint, true); until > now_) {
        schedule(until, [this, id]() { handleCommand(id); });
        return;
    }
    ++endpoint.counts[connection.inbound.front().kind];
    connection.arrived.push_back(std::move(connection.inbound.front()));
    connection.inbound.pop_front();
    process(id);
}

void EndpointGroupSimulation::handleClose(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (!connection.open) {
        return;
    }
    if (const auto until = delayedUntil(id, endpoints_.at(connection.endpoint), true);
        until > now_) {
        schedule(until, [this, id]() { handleClose(id); });
        return;
    }
    connection.closing = true;
    process(id);
}

void EndpointGroupSimulation::end(ConnectionId id)
{
    auto &connection = connections_.at(id);
    connection.open = false;
    connection.inbound.clear();
    connection.arrived.clear();
    if (!connection.busy) {
        connection.writes.clear();
        connection.state = TransactionState::Idle;
    }
}

void EndpointGroupSimulation::notifyEnded(ConnectionId id, ConnectionFailure reason)
{
    auto &connection = connections_.at(id);
    if (std::exchange(connection.knownToPooler, false)) {
        event_.emplace(pooler::ConnectionEnded{id, reason});
        connection.outbound.clear();
    }
}

void EndpointGroupSimulation::process(ConnectionId id)
{
    auto &connection = connections_.at(id);
    while (connection.open && !connection.busy && !connection.arrived.empty()) {
        auto &endpoint = endpoints_.at(connection.endpoint);
        const auto command = std::move(connection.arrived.front());
        connection.arrived.pop_front();
        if (command.kind != EndpointCommandKind::Forward
            && command.kind != EndpointCommandKind::Execute) {
            reply(connection, endpoint, executeControlCommand(connection, endpoint, command));
            continue;
        }
        auto work = WorkKind::Read;
        if (const auto refusal = startStatement(connection, endpoint, command, work)) {
            reply(connection, endpoint, error(*refusal));
            continue;
        }
        connection.busy = true;
        ++endpoint.running;
        const auto fails = std::exchange(endpoint.failsNextStatement, false);
        schedule(now_ + draw(settings_.serviceTime),
                 [this, id, incarnation = endpoint.incarnation, command, work, fails]() {
                     finishStatement(id, incarnation, command, work, fails);
                 });
    }
    if (connection.open && connection.closing && !connection.busy) {
        end(id);
    }
}

StatementAnswer EndpointGroupSimulation::executeControlCommand(Connection &connection,
                                                               Endpoint &endpoint,
                                                               const EndpointCommand &command)
{
    if (command.kind == EndpointCommandKind::Rollback) {
        connection.state = TransactionState::Idle;
        connection.writes.clear();
        connection.transaction = 0;
        return {};
    }
    if (connection.state == TransactionState::Failed) {
        return error(AnswerKind::Malformed);
    }
    switch (command.kind) {
    case EndpointCommandKind::Begin:
    case EndpointCommandKind::BeginReadOnly: {
        const auto readWrite = command.kind == EndpointCommandKind::Begin;
        if (connection.state != TransactionState::Idle) {
            return error(AnswerKind::Malformed);
        }
        if (readWrite && !isPrimary(endpoint)) {
            return error(AnswerKind::ReadOnly);
        }
        catchUp(endpoint);
        if (command.after && !hasPosition(endpoint, *command.after)) {
            return error(AnswerKind::Lagging);
        }
        connection.state = TransactionState::Open;
        connection.readWrite = readWrite;
        connection.transaction = ++transaction_;
        if (onWorkStarted) {
            onWorkStarted(connection.id, endpoint.id);
        }
        return {};
    }
    case EndpointCommandKind::SetVariable:
    case EndpointCommandKind::Prepare:
    case EndpointCommandKind::Reset: {
        const auto fails = endpoint.failingSettings > 0;
        if (!fails || endpoint.failingSettingsApplied) {
            applySetting(connection, command);
        }
        if (!fails) {
            return {};
        }
        --endpoint.failingSettings;
        if (connection.state == TransactionState::Open) {
            connection.state = TransactionState::Failed;
        }
        return error(AnswerKind::Failed);
    }
    default:
        return {};
    }
}

void EndpointGroupSimulation::applySetting(Connection &connection, const EndpointCommand &command)
{
    if (command.kind == EndpointCommandKind::SetVariable) {
        connection.variables[command.name] = command.argument;
    } else if (command.kind == EndpointCommandKind::Prepare) {
        connection.prepared[command.name] = {command.shape, command.writes};
    } else {
        connection.variables.clear();
        connection.prepared.clear();
    }
}

std::optional<AnswerKind> EndpointGroupSimulation::startStatement(Connection &connection,
                                                                  Endpoint &endpoint,
                                                                  const EndpointCommand &command,
                                                                  WorkKind &work)
{
    const auto inTransaction = connection.state != TransactionState::Idle;
    if (connection.state == TransactionState::Failed) {
        return AnswerKind::Malformed;
    }
    SimulatedRun run;
    run.team = connection.team;
    if (command.kind == EndpointCommandKind::Execute) {
        const auto found = connection.prepared.find(command.name);
        if (found == connection.prepared.end()) {
            return AnswerKind::UnknownPrepared;
        }
        run.prepared = found->second;
        work = found->second.writes ? WorkKind::Write : WorkKind::Read;
    } else if (command.text == "COMMIT") {
        work = WorkKind::Commit;
    } else {
        work = command.text.starts_with("WRITE ") ? WorkKind::Write : WorkKind::Read;
    }
    if (work == WorkKind::Commit && !inTransaction) {
        return AnswerKind::Malformed;
    }
    if (endpoint.running >= endpoint.slots) {
        return AnswerKind::Busy;
    }
    const auto readWrite = inTransaction && connection.readWrite;
    if ((readWrite || work == WorkKind::Write)
        && (!isPrimary(endpoint) || (inTransaction && !readWrite))) {
        if (inTransaction) {
            connection.state = TransactionState::Failed;
        }
        return AnswerKind::ReadOnly;
    }
    catchUp(endpoint);
    if (command.after && !hasPosition(endpoint, *command.after)) {
        return AnswerKind::Lagging;
    }
    run.connection = connection.id;
    run.transaction = inTransaction ? connection.transaction : 0;
    run.endpoint = endpoint.id;
    run.service = settings_.service;
    run.command = &command;
    run.variables = &connection.variables;
    run.reads = work == WorkKind::Read;
    run.log = &endpoint.log;
    if (!inTransaction && onWorkStarted) {
        onWorkStarted(connection.id, endpoint.id);
    }
    expectations_.recordRun(run);
    return std::nullopt;
}

void EndpointGroupSimulation::finishStatement(ConnectionId id, std::uint64_t incarnation,
                                              const EndpointCommand &command, WorkKind work,
                                              bool fails)
{
    auto &connection = connections_.at(id);
    auto &endpoint = endpoints_.at(connection.endpoint);
    connection.busy = false;
    if (endpoint.incarnation != incarnation || !endpoint.up) {
        return;
    }
    --endpoint.running;
    StatementAnswer answer;
    const auto inTransaction = connection.transaction != 0;
    if ((inTransaction ? connection.readWrite : work == WorkKind::Write) && !isPrimary(endpoint)) {
        answer.kind = AnswerKind::ReadOnly;
        expectations_.recordRefusalAfterStart(command.id);
    } else if (fails && work != WorkKind::Commit) {
        answer.kind = AnswerKind::Failed;
    }
    if (answer.kind != AnswerKind::Success) {
        connection.state = inTransaction ? TransactionState::Failed : TransactionState::Idle;
    } else {
        answer.signature = command.id;
        if (work == WorkKind::Read) {
            answer.rows.push_back(command.id);
        } else if (work == WorkKind::Write && inTransaction) {
            connection.writes.push_back(command.id);
        } else if (work == WorkKind::Write || !connection.writes.empty()) {
            const auto writes = work == WorkKind::Write ? std::vector{command.id}
                                                        : std::exchange(connection.writes, {});
            const auto serial = commit(endpoint, writes);
            expectations_.recordCommit(command.id, writes, serial, endpoint.log.back().position,
                                       settings_.service);
        }
        if (work == WorkKind::Commit) {
            connection.state = TransactionState::Idle;
            connection.transaction = 0;
        }
    }
    if (connection.open) {
        reply(connection, endpoint, std::move(answer));
        process(id);
    }
}

std::uint64_t EndpointGroupSimulation::commit(Endpoint &endpoint,
                                              const std::vector<std::string> &writes)
{
    endpoint.log.push_back({{endpoint.term, endpoint.log.size() + 1}, ++serial_, writes, now_});
    if (endpoint.formerPrimary) {
        expectations_.recordFormerPrimaryCommit(serial_);
    }
    return serial_;
}

void EndpointGroupSimulation::reply(Connection &connection, Endpoint &endpoint,
                                    StatementAnswer answer)
{
    catchUp(endpoint);
    answer.state = connection.state;
    answer.position = LogPosition{endpoint.term, endpoint.log.size()};
    auto after = draw(settings_.network);
    const auto statement = !answer.signature.empty();
    if (statement && endpoint.nextResponseDelay) {
        const auto delay = *std::exchange(endpoint.nextResponseDelay, std::nullopt);
        if (delay) {
            after += *delay;
        } else {
            connection.responsesDropped = true;
        }
    }
    if (connection.responsesDropped) {
        return;
    }
    connection.outbound.push_back(std::move(answer));
    connection.lastOutbound = std::max(connection.lastOutbound, now_ + after);
    schedule(connection.lastOutbound, [this, id = connection.id]() { deliverAnswer(id); });
}

void EndpointGroupSimulation::deliverAnswer(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (!connection.knownToPooler || connection.outbound.empty()) {
        return;
    }
    const auto &endpoint = endpoints_.at(connection.endpoint);
    if (const auto until = delayedUntil(id, endpoint, false); until > now_ && endpoint.up) {
        schedule(until, [this, id]() { deliverAnswer(id); });
        return;
    }
    event_.emplace(pooler::AnswerReceived{id, std::move(connection.outbound.front())});
    connection.outbound.pop_front();
}

void EndpointGroupSimulation::catchUp(Endpoint &endpoint)
{
    auto &leader = endpoints_.at(primary_);
    if (endpoint.formerPrimary || &endpoint == &leader || !endpoint.up || !leader.up
        || endpoint.replicationPaused) {
        return;
    }
    if (endpoint.term < term_) {
        if (promotedAt_ + endpoint.replicationDelay > now_) {
            return;
        }
        std::size_t common = 0;
        while (common < endpoint.log.size() && common < leader.log.size()
               && endpoint.log[common].serial == leader.log[common].serial) {
            ++common;
        }
        endpoint.log.resize(common);
        endpoint.term = term_;
    }
    while (endpoint.log.size() < leader.log.size()
           && (leader.log[endpoint.log.size()].at + endpoint.replicationDelay <= now_
               || leader.log[endpoint.log.size()].position.term < term_)) {
        endpoint.log.push_back(leader.log[endpoint.log.size()]);
    }
}

bool EndpointGroupSimulation::hasPosition(const Endpoint &endpoint, LogPosition position) const
{
    if (position.term > endpoint.term || position.index > endpoint.log.size()) {
        return false;
    }
    // Positions of an older term end where the next term begins.
    const auto next = termStartIndex_.upper_bound(position.term);
    return next == termStartIndex_.end() || next->first > endpoint.term
           || position.index <= next->second;
}

void EndpointGroupSimulation::promote(const std::string &id)
{
    auto &target = endpoints_.at(id);
    auto &former = endpoints_.at(primary_);
    if (!target.up || &target == &former) {
        if (target.up) {
            target.steppedDown = false;
        }
        return;
    }
    target.formerPrimary = false;
    target.steppedDown = false;
    for (auto &[name, endpoint] : endpoints_) {
        catchUp(endpoint);
    }
    for (std::size_t i = 0; i < former.log.size(); ++i) {
        if (i >= target.log.size() || target.log[i].serial != former.log[i].serial) {
            expectations_.recordRollback(former.log[i].serial);
        }
    }
    // A target that last followed an older term may hold commits that an earlier promotion rolled
    // back; it discards them.
    std::size_t common = 0;
    while (common < target.log.size() && common < former.log.size()
           && target.log[common].serial == former.log[common].serial) {
        ++common;
    }
    target.log.resize(common);
    ++term_;
    primary_ = id;
    promotedAt_ = now_;
    target.term = term_;
    termStartIndex_[term_] = target.log.size();
    if (settings_.formerPrimaryUse.max > Duration::zero() && former.up && !former.steppedDown) {
        former.formerPrimary = true;
        schedule(now_ + draw(settings_.formerPrimaryUse),
                 [this, &former]() { deposeFormerPrimary(former); });
    }
    former.steppedDown = false;
}

void EndpointGroupSimulation::stepDown(const std::string &id, std::uint64_t term)
{
    auto &endpoint = endpoints_.at(id);
    if (endpoint.term >= term) {
        return;
    }
    if (endpoint.formerPrimary) {
        deposeFormerPrimary(endpoint);
    } else if (endpoint.id == primary_) {
        endpoint.steppedDown = true;
    }
}

void EndpointGroupSimulation::deposeFormerPrimary(Endpoint &endpoint)
{
    endpoint.formerPrimary = false;
    catchUp(endpoint);
}

void EndpointGroupSimulation::delayNextResponse(const std::string &id,
                                                std::optional<Duration> delay)
{
    endpoints_.at(id).nextResponseDelay = delay;
}

void EndpointGroupSimulation::failNextSettings(const std::string &id, std::size_t count,
                                               bool applied)
{
    auto &endpoint = endpoints_.at(id);
    endpoint.failingSettings = count;
    endpoint.failingSettingsApplied = applied;
}

void EndpointGroupSimulation::clearPreparedStatements(const std::string &id)
{
    for (auto &[number, connection] : connections_) {
        if (connection.endpoint == id) {
            connection.prepared.clear();
        }
    }
}

void EndpointGroupSimulation::dropConnection(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (!connection.open) {
        return;
    }
    end(id);
    schedule(now_ + draw(settings_.network),
             [this, id]() { notifyEnded(id, ConnectionFailure::Closed); });
}

void EndpointGroupSimulation::stopEndpoint(const std::string &id)
{
    for (auto &[name, endpoint] : endpoints_) {
        catchUp(endpoint);
    }
    for (const auto connection : connections(id)) {
        dropConnection(connection);
    }
    auto &endpoint = endpoints_.at(id);
    endpoint.up = false;
    endpoint.formerPrimary = false;
    ++endpoint.incarnation;
    endpoint.running = 0;
}

void EndpointGroupSimulation::startEndpoint(const std::string &id,
                                            std::optional<std::uint64_t> bornMs)
{
    auto &endpoint = endpoints_.at(id);
    endpoint.up = true;
    endpoint.draining = false;
    endpoint.bornMs = bornMs.value_or(endpoint.incarnation);
}

void EndpointGroupSimulation::abandon(ConnectionId id, Duration delay)
{
    auto &connection = connections_.at(id);
    connection.knownToPooler = false;
    connection.outbound.clear();
    schedule(std::max(connection.lastInbound, now_ + delay), [this, id]() { handleClose(id); });
}

void EndpointGroupSimulation::setReplicationDelay(const std::string &id, Duration delay)
{
    catchUp(endpoints_.at(id));
    endpoints_.at(id).replicationDelay = delay;
}

void EndpointGroupSimulation::setReplicationPaused(const std::string &id, bool paused)
{
    catchUp(endpoints_.at(id));
    endpoints_.at(id).replicationPaused = paused;
}

void EndpointGroupSimulation::setDraining(const std::string &id, bool draining)
{
    endpoints_.at(id).draining = draining;
}

std::vector<EndpointRecord> EndpointGroupSimulation::records() const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.up) {
            result.push_back(record(id));
        }
    }
    return result;
}

EndpointRecord EndpointGroupSimulation::record(const std::string &id) const
{
    const auto &endpoint = endpoints_.at(id);
    EndpointRecord result;
    result.service = settings_.service;
    result.id = id;
    result.address = endpoint.address;
    result.dataCentre = "a";
    result.bornMs = endpoint.bornMs;
    result.role = isPrimary(endpoint) ? EndpointRole::Primary : EndpointRole::Replica;
    result.phase = endpoint.draining ? EndpointPhase::Draining : EndpointPhase::Ready;
    result.slots = endpoint.slots;
    return result;
}

EndpointStatusRow EndpointGroupSimulation::status(const std::string &id)
{
    auto &endpoint = endpoints_.at(id);
    catchUp(endpoint);
    EndpointStatusRow result;
    result.role = isPrimary(endpoint) ? EndpointRole::Primary : EndpointRole::Replica;
    result.term = endpoint.term;
    result.received = {endpoint.term, endpoint.log.size()};
    return result;
}

std::vector<std::string> EndpointGroupSimulation::endpoints() const
{
    std::vector<std::string> result;
    for (const auto &[id, endpoint] : endpoints_) {
        result.push_back(id);
    }
    return result;
}

std::vector<ConnectionId> EndpointGroupSimulation::connections(const std::string &id) const
{
    std::vector<ConnectionId> result;
    for (const auto &[number, connection] : connections_) {
        if (connection.open && connection.endpoint == id) {
            result.push_back(number);
        }
    }
    return result;
}

std::size_t EndpointGroupSimulation::count(const std::string &id, EndpointCommandKind kind) const
{
    const auto &counts = endpoints_.at(id).counts;
    const auto found = counts.find(kind);
    return found == counts.end() ? 0 : found->second;
}

} // namespace hyssoprock::test
