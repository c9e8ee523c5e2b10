#include <algorithm>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

void Pooler::Impl::dispatchIfAllowed(CallerSession &session)
{
    const auto counted = session.transaction && session.transaction->allowed;
    const auto limited =
        counted ? awaitingAllowance_.end() : awaitingAllowance_.find(session.request->team);
    if (limited == awaitingAllowance_.end()) {
        dispatch(session);
        return;
    }
    session.request->phase = RequestPhase::AwaitingAllowance;
    limited->second.push_back(session.id);
    schedule(session);
    requestAllowance(limited->first, limited->second.size());
}

void Pooler::Impl::dispatchAllowed(CallerSession &session)
{
    if (session.transaction) {
        session.transaction->allowed = true;
    }
    session.request->phase = RequestPhase::Waiting;
    dispatch(session);
}

void Pooler::Impl::requestAllowance(const std::string &team, std::size_t count)
{
    actions_.emplace_back(pooler::RequestAllowance{team, static_cast<std::uint32_t>(count)});
}

void Pooler::Impl::on(pooler::AllowanceGranted &event)
{
    for (std::uint32_t i = 0; i < event.count; ++i) {
        // Looked up each time: a dispatched statement that fails at once lets the next pipelined
        // statement of its session wait.
        const auto waiting = awaitingAllowance_.find(event.team);
        if (waiting == awaitingAllowance_.end() || waiting->second.empty()) {
            return;
        }
        const auto id = waiting->second.front();
        waiting->second.pop_front();
        dispatchAllowed(sessions_.at(id));
    }
}

void Pooler::Impl::on(pooler::AllowanceDenied &event)
{
    const auto waiting = awaitingAllowance_.find(event.team);
    if (waiting == awaitingAllowance_.end()) {
        return;
    }
    // Rounded up, so that a caller that waits for this long is not too early.
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(event.retryAfter).count();
    const auto reason =
        "team " + event.team
        + (event.overLimit ? " is over its limit" : ": no control host can grant the operation")
        + "; retry after " + std::to_string(retryAfter) + " ms";
    // Pipelined statements that follow a refused one wait for a decision of their own.
    const auto refused = std::exchange(waiting->second, {});
    for (const auto id : refused) {
        auto &known = sessions_.at(id);
        log([&]() {
            return "[limit] statement " + known.request->statement.id + " refused: " + reason;
        });
        known.request->phase = RequestPhase::Waiting;
        refuseUnallowed(known, event.overLimit, reason);
    }
}

void Pooler::Impl::refuseUnallowed(CallerSession &session, bool overLimit, std::string reason)
{
    if (counters_) {
        ++(overLimit ? counters_->overLimitRefusals : counters_->noAllowanceRefusals);
    }
    failWaitingRequest(session, std::move(reason));
}

void Pooler::Impl::stopAwaitingAllowance(const CallerSession &session)
{
    const auto &team = session.request->team;
    if (const auto waiting = awaitingAllowance_.find(team);
        waiting != awaitingAllowance_.end() && std::erase(waiting->second, session.id) > 0) {
        requestAllowance(team, waiting->second.size());
    }
}

void Pooler::Impl::updateTeamLimits()
{
    std::map<std::string, std::deque<CallerId>> former;
    former.swap(awaitingAllowance_);
    for (const auto &team : document_->teams) {
        if (team.operationsPerSecond == 0) {
            continue;
        }
        auto &waiting = awaitingAllowance_[team.name];
        if (const auto known = former.find(team.name); known != former.end()) {
            waiting = std::move(known->second);
            former.erase(known);
        }
    }
    for (const auto &[team, waiting] : former) {
        if (!waiting.empty()) {
            requestAllowance(team, 0);
        }
        for (const auto id : waiting) {
            dispatchAllowed(sessions_.at(id));
        }
    }
}

} // namespace hyssoprock
