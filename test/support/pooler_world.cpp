#include "pooler_world.hpp"

#include <algorithm>
#include <sstream>

#include <hyssoprock/core/invariant.hpp>

#include "event_digest.hpp"

namespace hyssoprock::test {

namespace {

using namespace std::chrono_literals;

std::string rest(std::istringstream &words)
{
    std::string result;
    std::getline(words >> std::ws, result);
    return result;
}

} // namespace

Statement parseStatement(std::string id, std::string_view text)
{
    Statement result;
    result.id = std::move(id);
    result.text = text;
    std::istringstream words{result.text};
    std::string keyword;
    words >> keyword;
    if (text == "BEGIN") {
        result.kind = StatementKind::Begin;
    } else if (text == "BEGIN READ") {
        result.kind = StatementKind::BeginReadOnly;
    } else if (text == "COMMIT") {
        result.kind = StatementKind::Commit;
    } else if (text == "ROLLBACK") {
        result.kind = StatementKind::Rollback;
    } else if (keyword == "READ") {
        result.kind = StatementKind::Read;
    } else if (keyword == "WRITE") {
        result.kind = StatementKind::Write;
    } else if (keyword == "SET") {
        result.kind = StatementKind::SetVariable;
        words >> result.name;
        result.argument = rest(words);
    } else if (keyword == "PREPARE") {
        std::string kind;
        result.kind = StatementKind::Prepare;
        words >> result.name >> kind;
        result.writes = kind == "WRITE";
        result.shape = rest(words);
    } else if (keyword == "EXECUTE") {
        result.kind = StatementKind::Execute;
        words >> result.name;
        result.argument = rest(words);
    } else if (keyword == "DEALLOC") {
        result.kind = StatementKind::Deallocate;
        words >> result.name;
    }
    return result;
}

void recordInDigest(std::string_view host, Instant now, std::size_t eventIndex,
                    const PoolerActions &actions)
{
    eventDigest().record(host, now, eventIndex, actions.size());
    for (const auto &action : actions) {
        std::visit(
            [&](const auto &body) {
                if constexpr (requires { body.answer.kind; }) {
                    eventDigest().record(action.index(), body.caller, body.answer.kind,
                                         body.answer.signature, body.answer.text);
                } else if constexpr (requires { body.endpoint, body.connection; }) {
                    eventDigest().record(action.index(), body.connection, body.endpoint);
                } else if constexpr (requires { body.command.text; }) {
                    eventDigest().record(action.index(), body.connection, body.command.kind,
                                         body.command.text);
                } else if constexpr (requires { body.connection; }) {
                    eventDigest().record(action.index(), body.connection);
                } else if constexpr (requires { body.caller; }) {
                    eventDigest().record(action.index(), body.caller);
                } else {
                    eventDigest().record(action.index());
                }
            },
            action);
    }
}

DeploymentDocument makeThreeRouteDocument(Duration staleness)
{
    DeploymentDocument result;
    result.version = 1;
    const auto add = [&](const std::string &name, ReadConsistency rule) {
        Route route;
        route.name = name;
        route.database = name;
        route.service = "s";
        route.readConsistency = rule;
        route.statementTimeout = 1s;
        route.targetLatency = 500ms;
        route.staleness = staleness;
        route.attempts = 2;
        result.routes.push_back(std::move(route));
    };
    add("primary", ReadConsistency::Primary);
    add("bounded", ReadConsistency::BoundedStaleness);
    add("own", ReadConsistency::ReadOwnWrites);
    result.services.push_back({"s", 20, 0});
    result.transactionIdleTimeout = 3s;
    return result;
}

PoolerWorld::PoolerWorld(std::uint64_t seed, GroupSettings settings, DeploymentDocument document,
                         bool leasedPrimaries, Admission admission, bool evenBalancing)
    : group{seed, std::move(settings), expectations}
    , pooler{{"e1", Topology{"a"}, false, true, leasedPrimaries, SessionLimits{}, admission,
              evenBalancing},
             seed,
             now}
{
    announce(std::move(document));
    announceEndpoints();
    announcePrimary();
}

void PoolerWorld::announce(DeploymentDocument document)
{
    auto shared = std::make_shared<const DeploymentDocument>(std::move(document));
    expectations.setDocument(shared);
    handle(pooler::DocumentChanged{std::move(shared)});
}

void PoolerWorld::announceEndpoints()
{
    handle(pooler::EndpointsChanged{group.records()});
}

void PoolerWorld::announcePrimary()
{
    handle(pooler::PrimaryChanged{{"s", group.primary(), ++epoch_}});
}

void PoolerWorld::withdrawPrimary()
{
    handle(pooler::PrimaryChanged{{"s", {}, ++epoch_}});
}

void PoolerWorld::promote(const std::string &id)
{
    group.promote(id);
    announceEndpoints();
    announcePrimary();
}

CallerId PoolerWorld::connect(const std::string &database, const std::string &key)
{
    const auto caller = nextCaller_++;
    callers_[caller];
    expectations.recordConnect(caller, database);
    handle(pooler::CallerConnected{caller, database, key});
    return caller;
}

std::string PoolerWorld::send(CallerId caller, std::string_view text)
{
    auto id = "q" + std::to_string(nextStatement_++);
    const auto statement = parseStatement(id, text);
    callers_.at(caller).unanswered.push_back(id);
    expectations.recordStatement(caller, statement, now);
    handle(pooler::StatementReceived{caller, statement});
    return id;
}

void PoolerWorld::disconnect(CallerId caller)
{
    callers_.erase(caller);
    expectations.recordDisconnect(caller);
    handle(pooler::CallerDisconnected{caller});
}

StatementAnswer PoolerWorld::sendAndWait(CallerId caller, std::string_view text)
{
    lastId_ = send(caller, text);
    for (const auto end = now + 20s; now < end && answer(lastId_) == nullptr;) {
        run(1ms);
    }
    const auto *found = answer(lastId_);
    check(found != nullptr, "a statement is answered");
    return *found;
}

void PoolerWorld::run(Duration time)
{
    const auto end = now + time;
    while (true) {
        auto at = end;
        const auto deadline = pooler.nextDeadline();
        if (deadline) {
            at = std::min(at, *deadline);
        }
        if (const auto next = group.nextEventAt()) {
            at = std::min(at, *next);
        }
        now = std::max(now, at);
        auto event = group.advance(now);
        const auto quiet = !event;
        if (event) {
            handle(*std::move(event));
        }
        const auto due = pooler.nextDeadline();
        if (due && *due <= now) {
            handle(pooler::Tick{});
            const auto again = pooler.nextDeadline();
            check(!again || *again > now, "a tick clears expired deadlines");
        } else if (quiet && now >= end) {
            return;
        }
    }
}

void PoolerWorld::handle(PoolerEvent event)
{
    ++steps;
    const auto eventIndex = event.index();
    const auto actions = pooler.handle(std::move(event), now);
    recordInDigest("pooler", now, eventIndex, actions);
    execute(actions);
}

void PoolerWorld::execute(const PoolerActions &actions)
{
    for (const auto &action : actions) {
        group.execute(action, now);
        if (const auto *accept = std::get_if<pooler::AcceptCaller>(&action)) {
            check(callers_.contains(accept->caller) && accepted_.insert(accept->caller).second,
                  "a caller is accepted once");
        } else if (const auto *refuse = std::get_if<pooler::RefuseCaller>(&action)) {
            check(!accepted_.contains(refuse->caller), "an accepted caller is not refused");
            refusals[refuse->caller] = refuse->kind;
            callers_.erase(refuse->caller);
            expectations.recordDisconnect(refuse->caller);
        } else if (const auto *answered = std::get_if<pooler::AnswerCaller>(&action)) {
            check(accepted_.contains(answered->caller), "only accepted callers are answered");
            expectations.recordAnswer(answered->caller, answered->answer, now);
            auto &unanswered = callers_.at(answered->caller).unanswered;
            answers_[unanswered.front()] = answered->answer;
            unanswered.pop_front();
            ++answerCounts[answered->answer.kind];
            states[answered->caller] = answered->answer.state;
        } else if (const auto *close = std::get_if<pooler::CloseCaller>(&action)) {
            check(callers_.erase(close->caller) == 1, "a caller is closed once");
            expectations.recordDisconnect(close->caller);
        } else if (const auto *report = std::get_if<pooler::ReportEvidence>(&action)) {
            reports.push_back(*report);
        } else if (const auto *release = std::get_if<pooler::PrimaryReleased>(&action)) {
            releases.push_back(*release);
        } else if (const auto *request = std::get_if<pooler::RequestAllowance>(&action)) {
            allowanceRequests.push_back(*request);
        } else if (std::holds_alternative<pooler::ShutdownFinished>(action)) {
            check(!finished, "the completion of a shutdown is reported once");
            finished = true;
        }
    }
}

const StatementAnswer *PoolerWorld::answer(const std::string &id) const
{
    const auto found = answers_.find(id);
    return found == answers_.end() ? nullptr : &found->second;
}

std::string PoolerWorld::lastEndpointOf(const std::string &id) const
{
    std::string result;
    for (const auto &run : expectations.runs()) {
        if (run.id == id) {
            result = run.endpoint;
        }
    }
    return result;
}

std::vector<std::string> PoolerWorld::teamsOf(const std::string &id) const
{
    std::vector<std::string> result;
    for (const auto &run : expectations.runs()) {
        if (run.id == id) {
            result.push_back(run.team);
        }
    }
    return result;
}

std::size_t PoolerWorld::unansweredCount(CallerId caller) const
{
    const auto found = callers_.find(caller);
    return found == callers_.end() ? 0 : found->second.unanswered.size();
}

} // namespace hyssoprock::test
