#include "caller_expectations.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::test {

namespace {

/// Whether an answer guarantees that no write of the attempt is committed.
bool guaranteesNoEffect(AnswerKind kind)
{
    return (provesNotRun(kind) && kind != AnswerKind::UnknownPrepared)
           || kind == AnswerKind::Aborted;
}

} // namespace

void CallerExpectations::setDocument(std::shared_ptr<const DeploymentDocument> document,
                                     const std::string &host)
{
    documents_[host] = std::move(document);
    for (const auto &[id, caller] : callers_) {
        const auto *route = caller.host == host ? routeOf(caller) : nullptr;
        if (route != nullptr && !caller.unanswered.empty()) {
            statements_.at(caller.unanswered.front()).services.insert(route->service);
        }
    }
}

const Route *CallerExpectations::routeOf(const Caller &caller) const
{
    const auto found = documents_.find(caller.host);
    return found == documents_.end() ? nullptr : findRoute(*found->second, caller.database);
}

void CallerExpectations::recordConnect(CallerId caller, const std::string &database,
                                       const std::string &host)
{
    callers_[caller].database = database;
    callers_[caller].host = host;
}

void CallerExpectations::recordStatement(CallerId caller, const Statement &statement, Instant now)
{
    check(!statements_.contains(statement.id), "test: identifiers of statements are unique");
    ReceivedStatement received;
    received.caller = caller;
    received.statement = statement;
    received.receivedAt = now;
    statements_[statement.id] = std::move(received);
    auto &unanswered = callers_.at(caller).unanswered;
    unanswered.push_back(statement.id);
    if (unanswered.size() == 1) {
        recordRoute(callers_.at(caller));
    }
}

void CallerExpectations::recordRoute(const Caller &caller)
{
    const auto *route = routeOf(caller);
    if (route != nullptr && !caller.unanswered.empty()) {
        auto &received = statements_.at(caller.unanswered.front());
        received.route = *route;
        received.services.insert(route->service);
    }
}

void CallerExpectations::recordDisconnect(CallerId caller)
{
    callers_.erase(caller);
}

bool CallerExpectations::writes(const ReceivedStatement &received, const Expected &expected) const
{
    return received.statement.kind == StatementKind::Write
           || (received.statement.kind == StatementKind::Execute && expected.prepared
               && expected.prepared->writes);
}

void CallerExpectations::recordCommand(ConnectionId connection, const EndpointCommand &command)
{
    if (command.id.empty()) {
        check(command.kind != EndpointCommandKind::Forward
                  && command.kind != EndpointCommandKind::Execute,
              "reads, writes and commits carry the identifier of a caller's statement");
        return;
    }
    const auto found = statements_.find(command.id);
    check(found != statements_.end(), "only statements that a caller sent are forwarded");
    auto &received = found->second;
    check(!received.answered, "an answered statement is not sent again");
    const auto caller = callers_.find(received.caller);
    check(caller != callers_.end() && caller->second.unanswered.front() == command.id,
          "statements of a caller run in their order and while it is connected");
    const auto &statement = received.statement;
    Expected expected;
    expected.variables = caller->second.variables;
    if (statement.kind == StatementKind::Execute) {
        const auto prepared = caller->second.prepared.find(statement.name);
        check(prepared != caller->second.prepared.end(), "only prepared statements are executed");
        expected.prepared = prepared->second;
        check(command.kind == EndpointCommandKind::Execute
                  && command.argument == statement.argument,
              "an execution keeps its arguments");
    } else {
        check(command.kind == EndpointCommandKind::Forward && command.text == statement.text,
              "the text of a statement is unchanged");
    }
    if (!received.attempt) {
        if (caller->second.transaction) {
            received.attempt = caller->second.transaction;
        } else {
            check(received.route.has_value(), "a statement is forwarded only if its route exists");
            received.attempt = std::make_shared<Attempt>();
            received.attempt->receivedAt = received.receivedAt;
            received.attempt->route = *received.route;
        }
        if (writes(received, expected)) {
            received.attempt->writes.push_back(command.id);
        }
    }
    expected_[{connection, command.id}] = std::move(expected);
}

void CallerExpectations::recordRun(const SimulatedRun &run)
{
    const auto &id = run.command->id;
    const auto &received = statements_.at(id);
    const auto &expected = expected_.at({run.connection, id});
    auto &attempt = *received.attempt;
    check(attempt.services.contains(run.service) || received.services.contains(run.service),
          "a statement runs on the service of its route");
    check(*run.variables == expected.variables,
          "a statement runs with the variables that were acknowledged to its caller");
    check(run.prepared == expected.prepared,
          "a statement runs with the shape that its caller prepared");
    if (run.transaction != 0) {
        auto &owner = owners_[run.transaction];
        if (!owner) {
            owner = received.attempt;
        }
        check(owner == received.attempt, "a transaction of an endpoint serves one attempt");
        if (attempt.transaction) {
            if (!attempt.endpointTransaction) {
                attempt.endpointTransaction = run.transaction;
            }
            check(attempt.endpointTransaction == run.transaction,
                  "a transaction stays on its connection");
        }
    } else {
        check(!attempt.transaction, "a statement of a transaction runs in a transaction");
    }
    const auto wrote = writes(received, expected);
    if (wrote || received.statement.kind == StatementKind::Commit) {
        check(started_.insert(id).second, "a write or commit runs at most once");
    }
    if (wrote && !attempt.transaction) {
        check(run.transaction == 0, "a single write runs without a transaction");
    }
    if (run.reads) {
        checkFreshness(received, run);
    }
    runs_.push_back({id, run.endpoint, run.connection, run.transaction != 0, run.team});
}

void CallerExpectations::checkFreshness(const ReceivedStatement &received,
                                        const SimulatedRun &run) const
{
    const auto commits = acknowledged_.find(run.service);
    if (commits == acknowledged_.end()) {
        return;
    }
    const auto &log = *run.log;
    const auto &attempt = *received.attempt;
    const auto &route = attempt.route;
    const auto allowance =
        route.readConsistency == ReadConsistency::Primary ? Duration::zero() : route.staleness;
    for (const auto &commit : commits->second) {
        const auto own = route.readConsistency == ReadConsistency::ReadOwnWrites
                         && commit.caller == received.caller;
        const auto required = commit.at < attempt.receivedAt - (own ? Duration::zero() : allowance);
        if (!required || rolledBack_.contains(commit.serial)) {
            continue;
        }
        check(commit.index <= log.size() && log[commit.index - 1].serial == commit.serial,
              own ? "a read sees the commits of its session"
                  : "a read sees the commits that its read consistency requires");
    }
}

void CallerExpectations::recordCommit(const std::string &id, const std::vector<std::string> &writes,
                                      std::uint64_t serial, LogPosition position,
                                      const std::string &service)
{
    const auto &received = statements_.at(id);
    check(received.attempt && !received.attempt->refused,
          "nothing is committed after a refusal of its attempt");
    check(received.statement.kind == StatementKind::Commit || !received.attempt->transaction,
          "a transaction is committed by its caller's commit only");
    for (const auto &write : writes) {
        check(statements_.at(write).attempt == received.attempt,
              "a commit contains only writes of its caller");
        commitSerials_[write] = serial;
    }
    for (const auto &write : received.attempt->writesAnswered) {
        check(std::find(writes.begin(), writes.end(), write) != writes.end(),
              "a commit contains every write that was acknowledged in its transaction");
    }
    commitSerials_[id] = serial;
    positions_[serial] = {service, position};
}

void CallerExpectations::refuse(Attempt &attempt)
{
    attempt.refused = true;
    for (const auto &write : attempt.writes) {
        check(!commitSerials_.contains(write), "no write of a refused attempt is committed");
    }
}

void CallerExpectations::recordAnswer(CallerId id, const StatementAnswer &answer, Instant now)
{
    const auto found = callers_.find(id);
    check(found != callers_.end(), "only connected callers are answered");
    auto &caller = found->second;
    check(!caller.unanswered.empty(), "each statement is answered once");
    auto &received = statements_.at(caller.unanswered.front());
    caller.unanswered.pop_front();
    recordRoute(caller);
    received.answered = true;
    const auto &statement = received.statement;
    const auto success = answer.kind == AnswerKind::Success;
    if (success && !answer.signature.empty()) {
        check(answer.signature == statement.id,
              "an answer goes to the caller that sent the statement");
    }
    if (const auto serial = commitSerials_.find(statement.id);
        success && serial != commitSerials_.end()) {
        check(!formerPrimaryCommits_.contains(serial->second),
              "no write at a replaced primary is acknowledged");
    }
    const auto attempt = caller.transaction ? caller.transaction : received.attempt;
    // An answer of UnknownPrepared leaves the transaction open.
    if (attempt && (guaranteesNoEffect(answer.kind) || answer.state == TransactionState::Failed)) {
        refuse(*attempt);
    }
    if (answer.kind == AnswerKind::UnknownPrepared || answer.kind == AnswerKind::NoDatabase
        || answer.kind == AnswerKind::Malformed) {
        check(!commitSerials_.contains(statement.id),
              "a statement that was not accepted has no effect");
    }
    switch (statement.kind) {
    case StatementKind::SetVariable:
        if (success) {
            caller.variables[statement.name] = statement.argument;
        }
        break;
    case StatementKind::Prepare:
        if (success) {
            caller.prepared[statement.name] = {statement.shape, statement.writes};
        }
        break;
    case StatementKind::Deallocate:
        if (success) {
            caller.prepared.erase(statement.name);
        }
        break;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        if (success) {
            const auto *route = routeOf(caller);
            check(route != nullptr, "a transaction begins only while its route exists");
            caller.transaction = std::make_shared<Attempt>();
            caller.transaction->receivedAt = received.receivedAt;
            caller.transaction->route = *route;
            caller.transaction->transaction = true;
            caller.transaction->services = received.services;
        }
        break;
    case StatementKind::Rollback:
        if (caller.transaction) {
            refuse(*caller.transaction);
        }
        break;
    default:
        break;
    }
    if (answer.state == TransactionState::Idle) {
        if (caller.transaction && statement.kind == StatementKind::Commit && success) {
            check(started_.contains(statement.id), "a commit is acknowledged only if it ran");
            check(caller.transaction->writes.empty() || commitSerials_.contains(statement.id),
                  "an acknowledged transaction is committed");
        }
        check(!caller.transaction || statement.kind == StatementKind::Commit
                  || statement.kind == StatementKind::Rollback,
              "a transaction ends with its caller's commit or rollback");
        caller.transaction.reset();
    } else {
        check(caller.transaction != nullptr, "a transaction begins with its caller's begin");
        if (success && attempt
            && std::find(attempt->writes.begin(), attempt->writes.end(), statement.id)
                   != attempt->writes.end()) {
            attempt->writesAnswered.insert(statement.id);
        }
    }
    const auto forwarded = statement.kind == StatementKind::Read
                           || statement.kind == StatementKind::Write
                           || statement.kind == StatementKind::Execute;
    if (success && forwarded) {
        check(answer.signature == statement.id, "only an endpoint reports success");
        const auto single = received.attempt && !received.attempt->transaction;
        check(!single || received.attempt->writes.empty() || commitSerials_.contains(statement.id),
              "an acknowledged write is committed");
    }
    if (const auto kept = commitSerials_.find(statement.id);
        success && kept != commitSerials_.end() && positions_.contains(kept->second)) {
        const auto &[service, position] = positions_.at(kept->second);
        acknowledged_[service].push_back({kept->second, position.index, now, id});
    }
}

std::size_t CallerExpectations::timesRun(const std::string &id) const
{
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const PastRun &run) { return run.id == id; }));
}

std::size_t CallerExpectations::unanswered() const
{
    std::size_t result = 0;
    for (const auto &[id, caller] : callers_) {
        result += caller.unanswered.size();
    }
    return result;
}

std::size_t CallerExpectations::acknowledgedLostCount() const
{
    std::ptrdiff_t result = 0;
    for (const auto &[service, commits] : acknowledged_) {
        result +=
            std::count_if(commits.begin(), commits.end(), [&](const AcknowledgedCommit &commit) {
                return rolledBack_.contains(commit.serial);
            });
    }
    return static_cast<std::size_t>(result);
}

} // namespace hyssoprock::test
