#include <algorithm>
#include <tuple>
#include <utility>

#include <hyssoprock/core/scope_guard.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// A connection stays with its team for this long while statements of the team wait. Opening one
// takes a slot for 12 ms, so changes of team take at most about an eighth of a connection's time.
constexpr Duration teamTenureMin = std::chrono::milliseconds{100};
// An endpoint without a free slot refuses a statement, which is repeated some 10 ms later. If the
// connection was closed in between, openings would take the slots that the statements need.
constexpr Duration idleTimeWithWaiting = std::chrono::milliseconds{50};

} // namespace

WaitingStatement Pooler::Impl::waitingStatement(const CallerSession &session) const
{
    const auto &request = *session.request;
    WaitingStatement result;
    result.id = session.id;
    result.team = request.team;
    result.routePriority = request.route.priority;
    result.deadline = request.waitDeadline;
    result.mayBeRefused = request.attempts == 0;
    if (isFair() && !request.team.empty() && document_) {
        const auto team = std::ranges::find(document_->teams, request.team, &Team::name);
        result.teamPriority = team == document_->teams.end() ? 0 : team->priority;
    }
    return result;
}

void Pooler::Impl::enqueueFairly(CallerSession &session)
{
    auto &queue = session.request->service->waiting;
    const auto statement = waitingStatement(session);
    const auto offered = queue.offer(statement, now_);
    if (offered.kind == ErrorKind::DeadlineExceeded) {
        refuseWaiting(session, "the wait for a connection would exceed the deadline",
                      queue.retryAfter(statement, now_));
        return;
    }
    if (offered.kind == ErrorKind::QueueFull) {
        refuseWaiting(session, "too many statements wait", queue.retryAfter(statement, now_));
        return;
    }
    schedule(session);
    if (!offered.displaced) {
        return;
    }
    if (auto *displaced = this->session(*offered.displaced)) {
        const auto retryAfter = queue.retryAfter(waitingStatement(*displaced), now_);
        refuseWaiting(*displaced, "too many statements of its team wait", retryAfter);
    }
}

void Pooler::Impl::refuseWaiting(CallerSession &session, std::string_view reason,
                                 Duration retryAfter)
{
    log([&]() {
        return "[route] statement " + session.request->statement.id + " of " + session.database
               + " refused: " + std::string{reason};
    });
    failWaitingRequest(session, std::string{reason} + "; retry after "
                                    + std::to_string(toMilliseconds(retryAfter)) + " ms");
}

void Pooler::Impl::placeFairly(PooledService &service)
{
    // A statement that is refused in a pass may start another one.
    const ScopeGuard restore{[this, outer = std::exchange(placing_, true)]() { placing_ = outer; }};
    std::set<std::pair<std::string, bool>> unplaceable;
    for (const auto id : service.waiting.fairOrder()) {
        auto *waiter = session(id);
        if (waiter == nullptr || !waiter->request
            || waiter->request->phase != RequestPhase::Waiting) {
            continue;
        }
        // Statements of a team that only the primary can run differ only in their need of a lease.
        const auto needsPrimary = waiter->request->needsPrimary;
        const auto kind = std::pair{waiter->request->team, needsLease(*waiter)};
        if (needsPrimary && unplaceable.contains(kind)) {
            continue;
        }
        const auto formerNext = nextConnection_;
        if (tryPlace(*waiter)) {
            continue;
        }
        if (needsPrimary && nextConnection_ == formerNext) {
            unplaceable.insert(kind);
        }
    }
}

bool Pooler::Impl::mayOpen(const PooledEndpoint &endpoint)
{
    if (!isFair()) {
        return endpoint.fullUntil <= now_;
    }
    const auto inProgress = std::ranges::count(endpoint.pool, false, &PooledConnection::open);
    if (endpoint.openings.mayOpen(static_cast<std::size_t>(inProgress), now_)) {
        return true;
    }
    if (endpoint.openings.pausedUntil() > now_) {
        schedulePlacement(endpoint.openings.pausedUntil());
    }
    return false;
}

Duration Pooler::Impl::idleTimeMin(const PooledConnection &connection) const
{
    return isFair() && waitingOf(*connection.target->service, connection.team) > 0
               ? idleTimeWithWaiting
               : Duration::zero();
}

bool Pooler::Impl::mayYield(const PooledConnection &connection, const std::string &team) const
{
    // In a pass, statements of the connection's team that come before this one were offered it.
    if (!placing_ || connection.openedAt + teamTenureMin > now_) {
        return false;
    }
    // A team that has a connection there is served by it when its turn comes.
    return std::ranges::find(connection.target->pool, team, &PooledConnection::team)
           == connection.target->pool.end();
}

} // namespace hyssoprock
