#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include "golden_world_state.hpp"

/// @file
/// @brief Timed events of a GoldenWorld: renewals, polls, ticks, grants and event delivery.

namespace hyssoprock::golden {

namespace {

constexpr std::uint32_t leaseMs = 1500;
constexpr auto renewInterval = std::chrono::milliseconds{400};
constexpr auto grantDelay = std::chrono::milliseconds{1};
constexpr int deadlineCountMax = 100000; ///< A higher count means that a deadline does not advance.

std::string numberOf(auto id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

} // namespace

std::optional<Instant> GoldenWorld::nextDeadline() const
{
    std::optional<Instant> next;
    const auto consider = [&next](const std::optional<Instant> &time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    for (const auto &[name, host] : hosts_) {
        consider(host->cutOff ? std::nullopt : std::optional{host->nextRenewal});
        consider(host->tables.nextDeadline());
    }
    for (const auto &[number, session] : sessions_) {
        consider(session->machine.nextDeadline());
        for (const auto &pendingAcquire : session->pendingAcquires) {
            const bool held = admission == Admission::Hold;
            consider(held ? pendingAcquire.request.deadline : pendingAcquire.grantAt);
        }
    }
    return next;
}

void GoldenWorld::advance(int ms)
{
    check(at(ms) >= now_, "the script's times do not go back");
    for (int count = 0;; ++count) {
        check(count < deadlineCountMax, "each deadline of the script moves on");
        const auto next = nextDeadline();
        if (!next || *next > at(ms)) {
            break;
        }
        now_ = std::max(now_, *next);
        processDeadlines();
    }
    now_ = at(ms);
}

void GoldenWorld::processDeadlines()
{
    for (auto &[name, host] : hosts_) {
        if (!host->cutOff && host->nextRenewal <= now_) {
            renew(*host, false);
        }
        if (const auto due = host->tables.nextDeadline(); due && *due <= now_) {
            poll(*host);
        }
    }
    for (auto &[number, session] : sessions_) {
        answerAcquires(*session);
        if (const auto due = session->machine.nextDeadline(); due && *due <= now_) {
            deliver(*session, Tick{}, "tick", true);
        }
    }
}

void GoldenWorld::answerAcquires(Session &session)
{
    const auto pending = std::exchange(session.pendingAcquires, {});
    for (const auto &pendingAcquire : pending) {
        const auto &request = pendingAcquire.request;
        const bool late = request.deadline <= now_;
        if (!late && (admission == Admission::Hold || pendingAcquire.grantAt > now_)) {
            session.pendingAcquires.push_back(pendingAcquire);
            continue;
        }
        const auto id = numberOf(request.acquire);
        if (late || admission == Admission::QueueFull) {
            const auto kind = late ? ErrorKind::DeadlineExceeded : ErrorKind::QueueFull;
            deliver(session, ConnectionRefused{request.acquire, kind, request.endpoint},
                    "acquire " + id + " refused: " + std::string{describe(kind).text});
            continue;
        }
        auto &idle = session.host.idle[request.endpoint];
        ConnectionGranted granted{request.acquire, ConnectionId{nextConnection_}, {}};
        const bool fresh = idle.empty();
        if (fresh) {
            ++nextConnection_;
        } else {
            granted.connection = idle.back().first;
            granted.schemaVersions = idle.back().second;
            idle.pop_back();
        }
        session.connections[granted.connection] = request.endpoint;
        deliver(session, granted,
                "acquire " + id + " granted: " + (fresh ? "new" : "idle") + " connection "
                    + numberOf(granted.connection) + " to " + request.endpoint);
    }
}

void GoldenWorld::renew(Host &host, bool recorded)
{
    HostRenewResponse response;
    response.sequence = ++host.sequence;
    response.leaseMs = leaseMs;
    response.viewVersion = viewVersion_;
    if (host.tables.views.viewVersion() < viewVersion_) {
        response.views = {view_};
    }
    const auto known = host.tables.views.configuration();
    if (!known || known->revision < configuration_.revision) {
        response.configuration = configuration_;
    }
    host.nextRenewal = now_ + renewInterval;
    host.tables.views.recordRenewalSent(host.sequence, now_);
    check(host.tables.views.apply(response).accepted, "the renewal is accepted");
    if (recorded) {
        transcript_.event(now_, host.name,
                          "lease until " + textOf(*host.tables.views.leaseUntil()) + " ms, view "
                              + std::to_string(viewVersion_) + ": term "
                              + std::to_string(view_.term) + " "
                              + std::string{toString(view_.state)} + ", primary "
                              + (view_.primary.empty() ? "none" : view_.primary) + "; revision "
                              + std::to_string(host.tables.views.configuration()->revision));
    }
    notifyViewChanged(host);
}

void GoldenWorld::notifyViewChanged(Host &host)
{
    for (auto &[number, session] : sessions_) {
        if (&session->host == &host && !session->closed) {
            deliver(*session, ViewChanged{}, "view, lease or configuration changed", true);
        }
    }
    resolveAcks(host);
}

void GoldenWorld::poll(Host &host)
{
    for (const auto &polled : host.tables.takePolls(now_)) {
        const auto *view = host.tables.views.view(polled);
        if (view != nullptr && !view->primary.empty()) {
            host.tables.recordReport(polled, view->primary, endpoints_.at(view->primary), now_,
                                     host.tables.views.leaseValid(now_), now_);
        }
    }
    resolveAcks(host);
}

void GoldenWorld::resolveAcks(Host &host)
{
    for (const auto &resolved : host.tables.acks.takeResolved(host.tables.views, now_)) {
        const auto &primary = view_.primary;
        deliver(*sessions_.at(resolved.session), AckResolved{resolved.request},
                "the wait for a majority is over"
                    + (primary.empty() ? std::string{}
                                       : "; " + primary + " is " + textOf(endpoints_.at(primary))));
    }
}

void GoldenWorld::deliver(Session &session, const SessionEvent &event, const std::string &text,
                          bool onlyWithActions)
{
    const auto actions = session.machine.handle(event, now_);
    if (!onlyWithActions || !actions.empty()) {
        transcript_.event(now_, "session " + std::to_string(session.number), text);
    }
    execute(session, actions);
}

void GoldenWorld::execute(Session &session, const SessionActions &actions)
{
    for (const auto &action : actions) {
        transcript_.action(textOf(action, tokens_));
        if (const auto *acquire = std::get_if<AcquireConnection>(&action)) {
            session.pendingAcquires.push_back({*acquire, now_ + grantDelay});
        } else if (const auto *cancelled = std::get_if<CancelAcquire>(&action)) {
            std::erase_if(session.pendingAcquires, [&](const Session::PendingAcquire &entry) {
                return entry.request.acquire == cancelled->acquire;
            });
        } else if (const auto *command = std::get_if<SendCommand>(&action)) {
            session.sent = *command;
            session.query = sql::PostgresEndpointDialect{}.encode(command->command);
        } else if (const auto *released = std::get_if<ReleaseConnection>(&action)) {
            const auto held = session.connections.find(released->connection);
            check(held != session.connections.end(), "only a connection that is held is released");
            if (released->reusable) {
                session.host.idle[held->second].emplace_back(released->connection,
                                                             released->schemaVersions);
            }
            session.connections.erase(held);
        } else if (const auto *token = std::get_if<ReportToken>(&action)) {
            session.token = token->token;
        } else if (std::holds_alternative<CloseCaller>(action)) {
            session.closed = true;
        }
    }
}

} // namespace hyssoprock::golden
