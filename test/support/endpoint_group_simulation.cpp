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
    termStart_[term_] = 0;
    serial_ = settings_.firstNumber;
    transaction_ = settings_.firstNumber;
}

void EndpointGroupSimulation::add(const std::string &id, const std::string &address,
                                  std::uint64_t bornMs)
{
    auto &endpoint = endpoints_[id];
    endpoint.id = id;
    endpoint.address = address;
    endpoint.bornMs = bornMs;
    endpoint.slots = settings_.slots;
    endpoint.delay = settings_.replicationDelay;
    endpoint.term = term_;
}

Instant EndpointGroupSimulation::held(ConnectionId id, const Endpoint &endpoint, bool inbound) const
{
    return heldUntil ? std::max(endpoint.silentUntil, heldUntil(id, endpoint.id, inbound))
                     : endpoint.silentUntil;
}

void EndpointGroupSimulation::at(Instant when, std::function<void()> what)
{
    due_.emplace(std::max(when, now_), std::move(what));
}

std::optional<Instant> EndpointGroupSimulation::nextAt() const
{
    return due_.empty() ? std::nullopt : std::optional{due_.begin()->first};
}

std::optional<PoolerEvent> EndpointGroupSimulation::advance(Instant now)
{
    while (!event_ && !due_.empty() && due_.begin()->first <= now) {
        now_ = std::max(now_, due_.begin()->first);
        const auto what = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        what();
    }
    now_ = std::max(now_, now);
    return std::exchange(event_, std::nullopt);
}

void EndpointGroupSimulation::take(const PoolerAction &action, Instant now)
{
    now_ = std::max(now_, now);
    if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
        auto &connection = connections_[open->connection];
        check(connection.id == 0, "a connection's name is never used again");
        connection.id = open->connection;
        connection.endpoint = open->endpoint;
        at(now_ + draw(settings_.network), [this, copy = *open]() { openArrives(copy); });
    } else if (const auto *send = std::get_if<pooler::SendCommand>(&action)) {
        auto &connection = connections_.at(send->connection);
        check(connection.poolerKnows, "nothing is sent on a connection that has ended");
        expectations_.commandSent(send->connection, send->command);
        connection.inbound.push_back(send->command);
        connection.lastInbound = std::max(connection.lastInbound, now_ + draw(settings_.network));
        at(connection.lastInbound, [this, id = send->connection]() { commandArrives(id); });
    } else if (const auto *close = std::get_if<pooler::CloseConnection>(&action)) {
        auto &connection = connections_.at(close->connection);
        connection.poolerKnows = false;
        connection.lastInbound = std::max(connection.lastInbound, now_ + draw(settings_.network));
        at(connection.lastInbound, [this, id = close->connection]() { closeArrives(id); });
    }
}

void EndpointGroupSimulation::openArrives(const pooler::OpenConnection &open)
{
    const auto found = endpoints_.find(open.endpoint);
    auto &connection = connections_.at(open.connection);
    const auto listener = listening ? listening(open.address) : open.endpoint;
    if (listener.empty() || found == endpoints_.end() || found->second.refuses
        || (listener == open.endpoint && !found->second.up)) {
        at(now_ + draw(settings_.network),
           [this, id = open.connection]() { tellEnded(id, ConnectionFailure::Refused); });
        return;
    }
    auto &endpoint = found->second;
    if (listener != open.endpoint) {
        at(now_ + draw(settings_.network),
           [this, id = open.connection]() { tellEnded(id, ConnectionFailure::Misrouted); });
        return;
    }
    if (held(open.connection, endpoint, true) > now_) {
        at(now_ + settings_.connectTimeout,
           [this, id = open.connection]() { tellEnded(id, ConnectionFailure::Silent); });
        return;
    }
    if (connections(endpoint.id).size() >= settings_.connectionsMax) {
        at(now_ + draw(settings_.network), [this, id = open.connection]() {
            tellEnded(id, ConnectionFailure::TooManyConnections);
        });
        return;
    }
    check(open.service == settings_.service, "a connection names the service of its endpoint");
    connection.open = true;
    connection.life = endpoint.life;
    connection.lastOutbound = now_ + draw(settings_.network);
    at(connection.lastOutbound, [this, id = open.connection]() { opened(id); });
}

void EndpointGroupSimulation::opened(ConnectionId id)
{
    const auto &connection = connections_.at(id);
    if (const auto until = held(id, endpoints_.at(connection.endpoint), false);
        until > now_ && connection.poolerKnows) {
        at(until, [this, id]() { opened(id); });
    } else if (connection.poolerKnows) {
        event_.emplace(pooler::ConnectionOpened{id});
    }
}

void EndpointGroupSimulation::commandArrives(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (connection.inbound.empty() || !connection.open) {
        return;
    }
    auto &endpoint = endpoints_.at(connection.endpoint);
    if (const auto until = held(id, endpoint, true); until > now_) {
        at(until, [this, id]() { commandArrives(id); });
        return;
    }
    ++endpoint.counts[connection.inbound.front().kind];
    connection.arrived.push_back(std::move(connection.inbound.front()));
    connection.inbound.pop_front();
    process(id);
}

void EndpointGroupSimulation::closeArrives(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (!connection.open) {
        return;
    }
    if (const auto until = held(id, endpoints_.at(connection.endpoint), true); until > now_) {
        at(until, [this, id]() { closeArrives(id); });
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

void EndpointGroupSimulation::tellEnded(ConnectionId id, ConnectionFailure reason)
{
    auto &connection = connections_.at(id);
    if (std::exchange(connection.poolerKnows, false)) {
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
            reply(connection, endpoint, immediate(connection, endpoint, command));
            continue;
        }
        auto work = Work::Read;
        if (const auto refusal = startStatement(connection, endpoint, command, work)) {
            reply(connection, endpoint, error(*refusal));
            continue;
        }
        connection.busy = true;
        ++endpoint.running;
        const auto fails = std::exchange(endpoint.failNext, false);
        at(now_ + draw(settings_.serviceTime),
           [this, id, life = endpoint.life, command, work, fails]() {
               finishStatement(id, life, command, work, fails);
           });
    }
    if (connection.open && connection.closing && !connection.busy) {
        end(id);
    }
}

StatementAnswer EndpointGroupSimulation::immediate(Connection &connection, Endpoint &endpoint,
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
        const auto plain = command.kind == EndpointCommandKind::Begin;
        if (connection.state != TransactionState::Idle) {
            return error(AnswerKind::Malformed);
        }
        if (plain && !leads(endpoint)) {
            return error(AnswerKind::ReadOnly);
        }
        catchUp(endpoint);
        if (command.after && !holds(endpoint, *command.after)) {
            return error(AnswerKind::Lagging);
        }
        connection.state = TransactionState::Open;
        connection.plain = plain;
        connection.transaction = ++transaction_;
        if (workBegins) {
            workBegins(connection.id, endpoint.id);
        }
        return {};
    }
    case EndpointCommandKind::SetVariable:
        connection.variables[command.name] = command.argument;
        return {};
    case EndpointCommandKind::Prepare:
        connection.prepared[command.name] = {command.shape, command.writes};
        return {};
    case EndpointCommandKind::Reset:
        connection.variables.clear();
        connection.prepared.clear();
        return {};
    default:
        return {};
    }
}

std::optional<AnswerKind> EndpointGroupSimulation::startStatement(Connection &connection,
                                                                  Endpoint &endpoint,
                                                                  const EndpointCommand &command,
                                                                  Work &work)
{
    const auto inTransaction = connection.state != TransactionState::Idle;
    if (connection.state == TransactionState::Failed) {
        return AnswerKind::Malformed;
    }
    SimulatedRun run;
    if (command.kind == EndpointCommandKind::Execute) {
        const auto found = connection.prepared.find(command.name);
        if (found == connection.prepared.end()) {
            return AnswerKind::UnknownPrepared;
        }
        run.prepared = found->second;
        work = found->second.writes ? Work::Write : Work::Read;
    } else if (command.text == "COMMIT") {
        work = Work::Commit;
    } else {
        work = command.text.starts_with("WRITE ") ? Work::Write : Work::Read;
    }
    if (work == Work::Commit && !inTransaction) {
        return AnswerKind::Malformed;
    }
    if (endpoint.running >= endpoint.slots) {
        return AnswerKind::Busy;
    }
    const auto plain = inTransaction && connection.plain;
    if ((plain || work == Work::Write) && (!leads(endpoint) || (inTransaction && !plain))) {
        if (inTransaction) {
            connection.state = TransactionState::Failed;
        }
        return AnswerKind::ReadOnly;
    }
    catchUp(endpoint);
    if (command.after && !holds(endpoint, *command.after)) {
        return AnswerKind::Lagging;
    }
    run.connection = connection.id;
    run.transaction = inTransaction ? connection.transaction : 0;
    run.endpoint = endpoint.id;
    run.service = settings_.service;
    run.command = &command;
    run.variables = &connection.variables;
    run.reads = work == Work::Read;
    run.log = &endpoint.log;
    if (!inTransaction && workBegins) {
        workBegins(connection.id, endpoint.id);
    }
    expectations_.ran(run);
    return std::nullopt;
}

void EndpointGroupSimulation::finishStatement(ConnectionId id, std::uint64_t life,
                                              const EndpointCommand &command, Work work, bool fails)
{
    auto &connection = connections_.at(id);
    auto &endpoint = endpoints_.at(connection.endpoint);
    connection.busy = false;
    if (endpoint.life != life || !endpoint.up) {
        return;
    }
    --endpoint.running;
    StatementAnswer answer;
    const auto inTransaction = connection.transaction != 0;
    if ((inTransaction ? connection.plain : work == Work::Write) && !leads(endpoint)) {
        answer.kind = AnswerKind::ReadOnly;
        expectations_.refusedAfterStart(command.id);
    } else if (fails && work != Work::Commit) {
        answer.kind = AnswerKind::Failed;
    }
    if (answer.kind != AnswerKind::Success) {
        connection.state = inTransaction ? TransactionState::Failed : TransactionState::Idle;
    } else {
        answer.signature = command.id;
        if (work == Work::Read) {
            answer.rows.push_back(command.id);
        } else if (work == Work::Write && inTransaction) {
            connection.writes.push_back(command.id);
        } else if (work == Work::Write || !connection.writes.empty()) {
            const auto writes = work == Work::Write ? std::vector{command.id}
                                                    : std::exchange(connection.writes, {});
            const auto serial = commit(endpoint, writes);
            expectations_.committed(command.id, writes, serial, endpoint.log.back().position,
                                    settings_.service);
        }
        if (work == Work::Commit) {
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
    if (statement && endpoint.delayNext) {
        const auto delay = *std::exchange(endpoint.delayNext, std::nullopt);
        if (delay) {
            after += *delay;
        } else {
            connection.mute = true;
        }
    }
    if (connection.mute) {
        return;
    }
    connection.outbound.push_back(std::move(answer));
    connection.lastOutbound = std::max(connection.lastOutbound, now_ + after);
    at(connection.lastOutbound, [this, id = connection.id]() { answerArrives(id); });
}

void EndpointGroupSimulation::answerArrives(ConnectionId id)
{
    auto &connection = connections_.at(id);
    if (!connection.poolerKnows || connection.outbound.empty()) {
        return;
    }
    const auto &endpoint = endpoints_.at(connection.endpoint);
    if (const auto until = held(id, endpoint, false); until > now_ && endpoint.up) {
        at(until, [this, id]() { answerArrives(id); });
        return;
    }
    event_.emplace(pooler::AnswerReceived{id, std::move(connection.outbound.front())});
    connection.outbound.pop_front();
}

void EndpointGroupSimulation::catchUp(Endpoint &endpoint)
{
    auto &leader = endpoints_.at(primary_);
    if (&endpoint == &leader || !endpoint.up || !leader.up || endpoint.deaf) {
        return;
    }
    if (endpoint.term < term_) {
        if (promotedAt_ + endpoint.delay > now_) {
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
           && (leader.log[endpoint.log.size()].at + endpoint.delay <= now_
               || leader.log[endpoint.log.size()].position.term < term_)) {
        endpoint.log.push_back(leader.log[endpoint.log.size()]);
    }
}

bool EndpointGroupSimulation::holds(const Endpoint &endpoint, LogPosition position) const
{
    if (position.term > endpoint.term || position.index > endpoint.log.size()) {
        return false;
    }
    // Positions of an older term end where the next term begins.
    const auto next = termStart_.upper_bound(position.term);
    return next == termStart_.end() || next->first > endpoint.term
           || position.index <= next->second;
}

void EndpointGroupSimulation::promote(const std::string &id)
{
    auto &target = endpoints_.at(id);
    auto &former = endpoints_.at(primary_);
    if (!target.up || &target == &former) {
        return;
    }
    for (auto &[name, endpoint] : endpoints_) {
        catchUp(endpoint);
    }
    for (std::size_t i = 0; i < former.log.size(); ++i) {
        if (i >= target.log.size() || target.log[i].serial != former.log[i].serial) {
            expectations_.rolledBack(former.log[i].serial);
        }
    }
    // A target that followed an older term may hold commits that were rolled back long ago; it
    // drops them with that knowledge.
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
    termStart_[term_] = target.log.size();
}

void EndpointGroupSimulation::delayNextAnswer(const std::string &id, std::optional<Duration> delay)
{
    endpoints_.at(id).delayNext = delay;
}

void EndpointGroupSimulation::forgetPrepared(const std::string &id)
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
    at(now_ + draw(settings_.network), [this, id]() { tellEnded(id, ConnectionFailure::Closed); });
}

void EndpointGroupSimulation::takeDown(const std::string &id)
{
    for (auto &[name, endpoint] : endpoints_) {
        catchUp(endpoint);
    }
    for (const auto connection : connections(id)) {
        dropConnection(connection);
    }
    auto &endpoint = endpoints_.at(id);
    endpoint.up = false;
    ++endpoint.life;
    endpoint.running = 0;
}

void EndpointGroupSimulation::bringUp(const std::string &id, std::optional<std::uint64_t> bornMs)
{
    auto &endpoint = endpoints_.at(id);
    endpoint.up = true;
    endpoint.draining = false;
    endpoint.bornMs = bornMs.value_or(endpoint.life);
}

void EndpointGroupSimulation::abandon(ConnectionId id, Duration delay)
{
    auto &connection = connections_.at(id);
    connection.poolerKnows = false;
    connection.outbound.clear();
    at(std::max(connection.lastInbound, now_ + delay), [this, id]() { closeArrives(id); });
}

void EndpointGroupSimulation::setDelay(const std::string &id, Duration delay)
{
    catchUp(endpoints_.at(id));
    endpoints_.at(id).delay = delay;
}

void EndpointGroupSimulation::setDeaf(const std::string &id, bool deaf)
{
    catchUp(endpoints_.at(id));
    endpoints_.at(id).deaf = deaf;
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
    result.role = leads(endpoint) ? EndpointRole::Primary : EndpointRole::Replica;
    result.phase = endpoint.draining ? EndpointPhase::Draining : EndpointPhase::Ready;
    result.slots = endpoint.slots;
    return result;
}

EndpointStatusRow EndpointGroupSimulation::status(const std::string &id)
{
    auto &endpoint = endpoints_.at(id);
    catchUp(endpoint);
    EndpointStatusRow result;
    result.role = leads(endpoint) ? EndpointRole::Primary : EndpointRole::Replica;
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
