#include <algorithm>
#include <utility>

#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include "entry_world.hpp"

namespace hyssoprock::random_runs {

void EntryWorld::carryOut(FakeHost &host, std::uint64_t session, const SessionActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<AcquireConnection>(&action)) {
            acquire(host, session, *wanted);
        } else if (const auto *query = std::get_if<SendCommand>(&action)) {
            sendCommand(host, session, *query);
        } else if (const auto *given = std::get_if<ReleaseConnection>(&action)) {
            release(host, *given);
        } else if (const auto *line = std::get_if<LogLine>(&action)) {
            // The part after the last comma is the reason.
            ++report.events["log: " + line->text.substr(line->text.rfind(", ") + 2)];
        } else if (const auto *token = std::get_if<ReportToken>(&action)) {
            host.sessions.at(session).client->tokenReported(token->token);
        } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
            // Later, as the caller may answer with the next statement.
            scheduler.after(1, [this, &host, session, answer = *answer] {
                const auto found = host.sessions.find(session);
                if (found != host.sessions.end()) {
                    found->second.client->answered(answer);
                }
            });
        } else if (std::holds_alternative<CloseCaller>(action)) {
            scheduler.after(2, [this, &host, session] {
                const auto found = host.sessions.find(session);
                if (found != host.sessions.end()) {
                    auto *client = found->second.client;
                    host.sessions.erase(found);
                    client->closed();
                }
            });
        }
    }
}

void EntryWorld::acquire(FakeHost &host, std::uint64_t session, const AcquireConnection &request)
{
    const bool refused = fault("connection refused", 3);
    const auto delay = refused ? 1000 : static_cast<Scheduler::Time>(random.below(4000));
    const bool slow = fault("connection granted late", 4);
    scheduler.after(delay + (slow ? 250'000 : 0), [this, &host, session, request, refused] {
        if (refused) {
            const auto kind = random.chance(70) ? ErrorKind::Unreachable : ErrorKind::QueueFull;
            deliver(host, session, ConnectionRefused{request.acquire, kind, "fake"});
            return;
        }
        if (clock(host) >= request.deadline) {
            deliver(host, session,
                    ConnectionRefused{request.acquire, ErrorKind::DeadlineExceeded, "fake"});
            return;
        }
        auto &idle = host.idle[request.endpoint];
        std::uint64_t id = 0;
        if (idle.empty()) {
            id = nextLink_++;
            host.links[id] = FakeLink{request.endpoint, {}, false};
        } else {
            id = idle.back();
            idle.pop_back();
        }
        deliver(
            host, session,
            ConnectionGranted{request.acquire, ConnectionId{id}, host.links[id].schemaVersions});
    });
}

void EntryWorld::release(FakeHost &host, const ReleaseConnection &request)
{
    const auto id = static_cast<std::uint64_t>(request.connection);
    auto &link = host.links[id];
    if (request.reusable) {
        link.schemaVersions = request.schemaVersions;
        host.idle[link.endpoint].push_back(id);
        return;
    }
    link.closed = true;
    // SQL that is on its way may still run before the endpoint notices the end of the connection.
    if (link.inFlight == 0) {
        scheduler.after(networkDelay(), [this, name = link.endpoint, id] {
            group.node(name).connections.erase(id);
        });
    }
}

void EntryWorld::sendCommand(FakeHost &host, std::uint64_t session, const SendCommand &request)
{
    const auto id = static_cast<std::uint64_t>(request.connection);
    const auto endpoint = host.links[id].endpoint;
    const bool lostBefore = fault("connection lost before running", 2);
    const bool lostAfter = !lostBefore && fault("connection lost after running", 3);
    const auto there = networkDelay() + (fault("statement late", 2) ? 500'000 : 0);
    const auto back = networkDelay() + (fault("answer late", 2) ? 450'000 : 0);
    const auto lose = [this, &host, session, id, endpoint](Scheduler::Time delay) {
        scheduler.after(delay, [this, &host, session, id, endpoint] {
            host.links[id].closed = true;
            group.node(endpoint).connections.erase(id);
            deliver(host, session, ConnectionLost{ConnectionId{id}});
        });
    };
    if (lostBefore) {
        lose(there);
        return;
    }
    ++host.links[id].inFlight;
    scheduler.after(there, [this, &host, session, id, endpoint, request, lostAfter, back, lose] {
        auto &node = group.node(endpoint);
        --host.links[id].inFlight;
        if (host.links[id].closed && random.chance(50)) {
            node.connections.erase(id);
            return;
        }
        if (node.cut && random.chance(20)) {
            ++report.faults["connection lost with the primary"];
            lose(back);
            return;
        }
        const sql::PostgresEndpointDialect dialect;
        const auto query = dialect.encode(request.command);
        auto answer = dialect.interpret(query.expected, group.execute(node, id, query.text));
        if (host.links[id].closed) {
            ++report.faults["statement ran after its connection was closed"];
            node.connections.erase(id);
        }
        if (lostAfter) {
            lose(back);
            return;
        }
        answer.connection = request.connection;
        answer.send = request.send;
        scheduler.after(back, [this, &host, session, answer] { deliver(host, session, answer); });
    });
}

} // namespace hyssoprock::random_runs
