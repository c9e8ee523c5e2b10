#include "caller_expectations.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::test {

namespace {

/// Answers after which nothing of the attempt may be kept.
bool promisesNothingKept(AnswerKind kind)
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
            asked_.at(caller.unanswered.front()).services.insert(route->service);
        }
    }
}

const Route *CallerExpectations::routeOf(const Caller &caller) const
{
    const auto found = documents_.find(caller.host);
    return found == documents_.end() ? nullptr : findRoute(*found->second, caller.database);
}

void CallerExpectations::callerArrived(CallerId caller, const std::string &database,
                                       const std::string &host)
{
    callers_[caller].database = database;
    callers_[caller].host = host;
}

void CallerExpectations::statementSent(CallerId caller, const Statement &statement, Instant now)
{
    check(!asked_.contains(statement.id), "test: identifiers of statements are unique");
    Asked asked;
    asked.caller = caller;
    asked.statement = statement;
    asked.arrivedAt = now;
    asked_[statement.id] = std::move(asked);
    auto &unanswered = callers_.at(caller).unanswered;
    unanswered.push_back(statement.id);
    if (unanswered.size() == 1) {
        noteRoute(callers_.at(caller));
    }
}

void CallerExpectations::noteRoute(const Caller &caller)
{
    const auto *route = routeOf(caller);
    if (route != nullptr && !caller.unanswered.empty()) {
        auto &asked = asked_.at(caller.unanswered.front());
        asked.route = *route;
        asked.services.insert(route->service);
    }
}

void CallerExpectations::callerGone(CallerId caller)
{
    callers_.erase(caller);
}

bool CallerExpectations::writes(const Asked &asked, const Expected &expected) const
{
    return asked.statement.kind == StatementKind::Write
           || (asked.statement.kind == StatementKind::Execute && expected.prepared
               && expected.prepared->writes);
}

void CallerExpectations::commandSent(ConnectionId connection, const EndpointCommand &command)
{
    if (command.id.empty()) {
        check(command.kind != EndpointCommandKind::Forward
                  && command.kind != EndpointCommandKind::Execute,
              "reads, writes and commits carry the identifier of a caller's statement");
        return;
    }
    const auto found = asked_.find(command.id);
    check(found != asked_.end(), "only statements that a caller sent are forwarded");
    auto &asked = found->second;
    check(!asked.answered, "an answered statement is not sent again");
    const auto caller = callers_.find(asked.caller);
    check(caller != callers_.end() && caller->second.unanswered.front() == command.id,
          "statements of a caller run in their order and while it is connected");
    const auto &statement = asked.statement;
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
              "the text of a statement stays as it is");
    }
    if (!asked.attempt) {
        if (caller->second.transaction) {
            asked.attempt = caller->second.transaction;
        } else {
            check(asked.route.has_value(), "a statement is forwarded only if its route exists");
            asked.attempt = std::make_shared<Attempt>();
            asked.attempt->arrivedAt = asked.arrivedAt;
            asked.attempt->route = *asked.route;
        }
        if (writes(asked, expected)) {
            asked.attempt->writes.push_back(command.id);
        }
    }
    expected_[{connection, command.id}] = std::move(expected);
}

void CallerExpectations::ran(const SimulatedRun &run)
{
    const auto &id = run.command->id;
    const auto &asked = asked_.at(id);
    const auto &expected = expected_.at({run.connection, id});
    auto &attempt = *asked.attempt;
    check(attempt.services.contains(run.service) || asked.services.contains(run.service),
          "a statement runs on the service of its route");
    check(*run.variables == expected.variables,
          "a statement runs with the variables that were acknowledged to its caller");
    check(run.prepared == expected.prepared,
          "a statement runs with the shape that its caller prepared");
    if (run.transaction != 0) {
        auto &owner = owners_[run.transaction];
        if (!owner) {
            owner = asked.attempt;
        }
        check(owner == asked.attempt, "a transaction of an endpoint serves one attempt");
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
    const auto wrote = writes(asked, expected);
    if (wrote || asked.statement.kind == StatementKind::Commit) {
        check(started_.insert(id).second, "a write or commit runs at most once");
    }
    if (wrote && !attempt.transaction) {
        check(run.transaction == 0, "a single write runs without a transaction");
    }
    if (run.reads) {
        checkFresh(asked, run);
    }
    runs_.push_back({id, run.endpoint, run.connection, run.transaction != 0});
}

void CallerExpectations::checkFresh(const Asked &asked, const SimulatedRun &run) const
{
    const auto held = acknowledged_.find(run.service);
    if (held == acknowledged_.end()) {
        return;
    }
    const auto &log = *run.log;
    const auto &attempt = *asked.attempt;
    const auto &route = attempt.route;
    const auto allowance =
        route.readConsistency == ReadConsistency::Primary ? Duration::zero() : route.staleness;
    for (const auto &commit : held->second) {
        const auto own = route.readConsistency == ReadConsistency::ReadOwnWrites
                         && commit.caller == asked.caller;
        const auto required = commit.at < attempt.arrivedAt - (own ? Duration::zero() : allowance);
        if (!required || rolledBack_.contains(commit.serial)) {
            continue;
        }
        check(commit.index <= log.size() && log[commit.index - 1].serial == commit.serial,
              own ? "a read sees the commits of its session"
                  : "a read sees the commits that its rule demands");
    }
}

void CallerExpectations::committed(const std::string &id, const std::vector<std::string> &writes,
                                   std::uint64_t serial, LogPosition position,
                                   const std::string &service)
{
    const auto &asked = asked_.at(id);
    check(asked.attempt && !asked.attempt->refused,
          "nothing is committed after a refusal of its attempt");
    check(asked.statement.kind == StatementKind::Commit || !asked.attempt->transaction,
          "a transaction is committed by its caller's commit only");
    for (const auto &write : writes) {
        check(asked_.at(write).attempt == asked.attempt,
              "a commit keeps writes of its caller only");
        kept_[write] = serial;
    }
    for (const auto &write : asked.attempt->writesAnswered) {
        check(std::find(writes.begin(), writes.end(), write) != writes.end(),
              "a commit keeps every write that was acknowledged in its transaction");
    }
    kept_[id] = serial;
    positions_[serial] = {service, position};
}

void CallerExpectations::refuse(Attempt &attempt)
{
    attempt.refused = true;
    for (const auto &write : attempt.writes) {
        check(!kept_.contains(write), "nothing is kept of an attempt that was refused");
    }
}

void CallerExpectations::answered(CallerId id, const StatementAnswer &answer, Instant now)
{
    const auto found = callers_.find(id);
    check(found != callers_.end(), "only connected callers are answered");
    auto &caller = found->second;
    check(!caller.unanswered.empty(), "each statement is answered once");
    auto &asked = asked_.at(caller.unanswered.front());
    caller.unanswered.pop_front();
    noteRoute(caller);
    asked.answered = true;
    const auto &statement = asked.statement;
    const auto success = answer.kind == AnswerKind::Success;
    if (success && !answer.signature.empty()) {
        check(answer.signature == statement.id, "an answer goes to the caller that asked");
    }
    const auto attempt = caller.transaction ? caller.transaction : asked.attempt;
    // An unknown prepared statement leaves a transaction open.
    if (attempt && (promisesNothingKept(answer.kind) || answer.state == TransactionState::Failed)) {
        refuse(*attempt);
    }
    if (answer.kind == AnswerKind::UnknownPrepared || answer.kind == AnswerKind::NoDatabase
        || answer.kind == AnswerKind::Malformed) {
        check(!kept_.contains(statement.id), "a statement that was not accepted has no effect");
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
            caller.transaction->arrivedAt = asked.arrivedAt;
            caller.transaction->route = *route;
            caller.transaction->transaction = true;
            caller.transaction->services = asked.services;
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
            check(caller.transaction->writes.empty() || kept_.contains(statement.id),
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
        check(answer.signature == statement.id, "success is told only by an endpoint");
        const auto single = asked.attempt && !asked.attempt->transaction;
        check(!single || asked.attempt->writes.empty() || kept_.contains(statement.id),
              "an acknowledged write is committed");
    }
    if (const auto kept = kept_.find(statement.id);
        success && kept != kept_.end() && positions_.contains(kept->second)) {
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

std::size_t CallerExpectations::acknowledgedAndLost() const
{
    std::ptrdiff_t result = 0;
    for (const auto &[service, commits] : acknowledged_) {
        result += std::count_if(commits.begin(), commits.end(), [&](const Acknowledged &commit) {
            return rolledBack_.contains(commit.serial);
        });
    }
    return static_cast<std::size_t>(result);
}

} // namespace hyssoprock::test
