#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include <hyssoprock/pooling/pooler.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Route route(std::string database, std::string service, ReadConsistency rule)
{
    Route result;
    result.name = database;
    result.database = std::move(database);
    result.service = std::move(service);
    result.readConsistency = rule;
    result.statementTimeout = seconds{1};
    result.targetLatency = milliseconds{400};
    result.staleness = milliseconds{1500};
    return result;
}

EndpointRecord primary(std::string id, std::string service)
{
    EndpointRecord record;
    record.id = std::move(id);
    record.service = std::move(service);
    record.address = "127.0.0.1:1";
    record.dataCentre = "a";
    record.bornMs = 1;
    record.sequence = 1;
    record.role = EndpointRole::Primary;
    record.slots = 5;
    return record;
}

/// A Pooler whose actions the test inspects and answers one by one.
class Script
{
public:
    explicit Script(std::uint32_t connectionsMax, std::string host = "h1")
        : pooler_{{std::move(host), Topology{"a"}, false}, 1, Instant{seconds{100}}}
    {
        auto document = std::make_shared<DeploymentDocument>();
        document->version = 1;
        document->routes = {route("orders", "s1", ReadConsistency::Primary),
                            route("lists", "s1", ReadConsistency::ReadOwnWrites)};
        document->services = {{"s1", connectionsMax, 0}, {"s2", connectionsMax, 0}};
        put(std::move(document));
        give(pooler::EndpointsChanged{{primary("e1", "s1"), primary("e2", "s2")}});
    }

    void put(std::shared_ptr<const DeploymentDocument> document)
    {
        give(pooler::DocumentChanged{std::move(document)});
    }

    void give(PoolerEvent event)
    {
        for (auto &action : pooler_.handle(std::move(event), now_)) {
            if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
                opened_.push_back(*open);
            } else if (const auto *send = std::get_if<pooler::SendCommand>(&action)) {
                sent_.push_back(*send);
            } else if (auto *answer = std::get_if<pooler::AnswerCaller>(&action)) {
                answers_.push_back(std::move(*answer));
            } else if (const auto *close = std::get_if<pooler::CloseCaller>(&action)) {
                closed_.push_back(close->caller);
            } else if (std::holds_alternative<pooler::CloseConnection>(action)) {
                ++closedConnections_;
            }
        }
    }

    void pass(Duration duration)
    {
        const auto end = now_ + duration;
        while (const auto next = pooler_.nextDeadline()) {
            if (*next > end) {
                break;
            }
            now_ = std::max(now_, *next);
            give(pooler::Tick{});
        }
        now_ = end;
    }

    void arrive(CallerId caller, std::string database)
    {
        give(pooler::CallerConnected{caller, std::move(database), "u"});
    }

    void say(CallerId caller, StatementKind kind, std::string text)
    {
        Statement statement;
        statement.id = "id" + std::to_string(caller);
        statement.kind = kind;
        statement.text = std::move(text);
        give(pooler::StatementReceived{caller, std::move(statement)});
    }

    void succeed(ConnectionId connection, LogPosition position,
                 TransactionState state = TransactionState::Idle)
    {
        StatementAnswer answer;
        answer.signature = "signature";
        answer.position = position;
        answer.state = state;
        give(pooler::AnswerReceived{connection, std::move(answer)});
    }

    Pooler pooler_;
    Instant now_{seconds{100}};
    std::vector<pooler::OpenConnection> opened_;
    std::vector<pooler::SendCommand> sent_;
    std::vector<pooler::AnswerCaller> answers_;
    std::vector<CallerId> closed_;
    std::size_t closedConnections_ = 0;
};

} // namespace

// Guards against entry hosts that together open more connections than an endpoint accepts. After a
// power loss some hosts would then have no connection to the primary for seconds.
Test(pooler_connection, aHostKeepsToItsShare)
{
    Script script{35};
    script.give(pooler::EntryHostsChanged{8});
    for (CallerId caller = 1; caller <= 10; ++caller) {
        script.arrive(caller, "orders");
        script.say(caller, StatementKind::Write, "WRITE a b");
    }
    cr_assert_eq(script.opened_.size(), 3U, "%zu connections", script.opened_.size());
}

// Guards against hosts that keep more idle connections to an endpoint than it accepts. The other
// hosts then get none; in a large deployment 5% of the statements were refused.
Test(pooler_connection, hostsThatShareFewConnectionsCloseIdleOnes)
{
    constexpr std::size_t connectionsMax = 60;
    for (const std::size_t hosts : {8U, 67U}) {
        std::size_t kept = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            Script script{connectionsMax, "host-" + std::to_string(host)};
            script.give(pooler::EntryHostsChanged{static_cast<std::uint32_t>(hosts)});
            script.arrive(1, "orders");
            for (auto i = 0; i < 20; ++i) {
                script.say(1, StatementKind::Write, "WRITE a b");
                if (i == 0) {
                    script.give(pooler::ConnectionOpened{script.opened_.back().connection});
                }
                script.pass(milliseconds{40});
                script.succeed(script.opened_.back().connection, {1, 1});
                script.pass(milliseconds{10});
            }
            cr_assert_eq(script.opened_.size(), 1U, "one connection serves successive statements");
            script.pass(milliseconds{500});
            kept += script.opened_.size() - script.closedConnections_;
        }
        cr_assert_leq(kept, connectionsMax - 3, "%zu of %zu hosts", kept, hosts);
        cr_assert_geq(kept, hosts == 8U ? 8U : 20U, "%zu of %zu hosts", kept, hosts);
    }
}

// Guards against frequent connection attempts to an endpoint at its limit, each of which costs it a
// slot.
Test(pooler_connection, aFullEndpointIsAskedEverLessOften)
{
    Script script{35};
    script.arrive(1, "orders");
    script.say(1, StatementKind::Write, "WRITE a b");
    for (std::size_t i = 0; i < script.opened_.size() && i < 100; ++i) {
        script.pass(milliseconds{5});
        script.give(pooler::ConnectionEnded{script.opened_[i].connection,
                                            ConnectionFailure::TooManyConnections});
        script.pass(milliseconds{200});
    }
    cr_assert_leq(script.opened_.size(), 4U, "%zu attempts within a second", script.opened_.size());
    script.pass(seconds{1});
    cr_assert_eq(script.answers_.size(), 1U);
    cr_assert_eq(script.answers_.front().answer.kind, AnswerKind::Busy);
}

// Guards against requiring the floor of one service from another one after a route has moved; no
// endpoint of the other service would ever reach it.
Test(pooler_connection, theFloorBelongsToItsService)
{
    Script script{35};
    script.arrive(1, "lists");
    script.say(1, StatementKind::Write, "WRITE a b");
    script.give(pooler::ConnectionOpened{script.opened_.back().connection});
    script.succeed(script.opened_.back().connection, {9, 900});
    cr_assert_eq(script.answers_.size(), 1U);

    auto moved = std::make_shared<DeploymentDocument>();
    moved->version = 2;
    moved->routes = {route("lists", "s2", ReadConsistency::ReadOwnWrites)};
    moved->services = {{"s1", 35, 0}, {"s2", 35, 0}};
    script.put(std::move(moved));

    // Without a sample the first read runs on the primary in a read-write transaction.
    script.say(1, StatementKind::Read, "READ a");
    const auto connection = script.opened_.back().connection;
    script.give(pooler::ConnectionOpened{connection});
    script.succeed(connection, {2, 20}, TransactionState::Open);
    script.succeed(connection, {2, 20}, TransactionState::Open);
    script.succeed(connection, {2, 20});
    script.say(1, StatementKind::Read, "READ a");
    cr_assert_eq(script.sent_.back().command.kind, EndpointCommandKind::Forward);
    cr_assert(script.sent_.back().command.after == LogPosition({2, 20}));
}

// Guards against a session that misses its own write after its route has moved to another service
// and back. The first commit in the second service used to discard the floor of the first.
Test(pooler_connection, theFloorOfAServiceOutlivesAMoveOfItsRoute)
{
    Script script{35};
    const auto move = [&script](std::uint64_t version, const std::string &service) {
        auto document = std::make_shared<DeploymentDocument>();
        document->version = version;
        document->routes = {route("lists", service, ReadConsistency::ReadOwnWrites)};
        document->services = {{"s1", 35, 0}, {"s2", 35, 0}};
        script.put(std::move(document));
    };
    script.arrive(1, "lists");
    script.say(1, StatementKind::Write, "WRITE a b");
    const auto first = script.opened_.back().connection;
    script.give(pooler::ConnectionOpened{first});
    script.succeed(first, {9, 900});
    script.pass(milliseconds{50});
    script.say(1, StatementKind::Write, "WRITE a c");
    script.succeed(first, {9, 901});

    move(2, "s2");
    script.say(1, StatementKind::Write, "WRITE a d");
    const auto second = script.opened_.back().connection;
    script.give(pooler::ConnectionOpened{second});
    script.succeed(second, {2, 20});
    cr_assert_eq(script.answers_.size(), 3U);

    move(3, "s1");
    script.say(1, StatementKind::Read, "READ a");
    cr_assert_eq(script.sent_.back().command.kind, EndpointCommandKind::Forward);
    cr_assert(script.sent_.back().command.after == LogPosition({9, 901}));
}

// Guards against closing a session whose transaction was begun during the shutdown. With a grace
// period of 4.5 s such a session was closed 130 ms after its begin.
Test(pooler_connection, aTransactionBegunDuringAShutdownMayEnd)
{
    Script script{35};
    script.arrive(1, "orders");
    script.arrive(2, "orders");
    script.give(pooler::ShutdownStarted{milliseconds{2250}, milliseconds{3500}});
    script.pass(milliseconds{2150});
    script.say(1, StatementKind::Begin, "BEGIN");
    script.pass(milliseconds{100});
    cr_assert(script.closed_ == std::vector<CallerId>{2}, "an idle session is closed at once");
    script.pass(milliseconds{1000});
    cr_assert_eq(script.closed_.size(), 1U, "the transaction goes on");
    script.say(1, StatementKind::Rollback, "ROLLBACK");
    cr_assert_eq(script.closed_.size(), 2U, "its session is closed after its end");
}
