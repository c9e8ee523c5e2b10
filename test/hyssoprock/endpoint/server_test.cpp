#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <hyssoprock/endpoint/server.hpp>
#include <hyssoprock/load/pg_connection.hpp>

#include "recording_journal.hpp"

using namespace hyssoprock;
using namespace hyssoprock::endpoint;

namespace {

constexpr std::chrono::seconds answerTimeout{30};

ServerSettings settings(const std::string &name)
{
    ServerSettings result;
    result.name = name;
    result.group = "g";
    result.listen = "127.0.0.1:0";
    result.connectionCountMax = 4;
    result.reservedConnectionCount = 2;
    result.connectDelay = Duration{0};
    result.serviceTime = Duration{0};
    return result;
}

/// Server on the event loop that also runs the clients.
struct Node
{
    Node(boost::asio::io_context &eventLoop, const std::string &name)
        : context{eventLoop}
        , server{eventLoop, settings(name), journal}
    {
        server.start();
    }

    boost::asio::io_context &context;
    RecordingJournal journal;
    Server server;
};

struct Client
{
    explicit Client(Node &node, const std::string &application = "test")
        : context{node.context}
        , connection{std::make_shared<load::PgConnection>(node.context, answerTimeout)}
    {
        const auto address = node.server.address();
        std::optional<std::string> result;
        connection->connect("hostaddr=127.0.0.1 port=" + address.substr(address.rfind(':') + 1)
                                + " dbname=g user=u sslmode=disable gssencmode=disable"
                                  " application_name="
                                + application,
                            [&result](const std::string &failed) { result = failed; });
        while (!result) {
            context.run_one();
        }
        error = *result;
    }

    void send(const std::string &text)
    {
        answer.reset();
        connection->query(text, [this](const load::QueryResult &received) { answer = received; });
    }

    const load::QueryResult &wait()
    {
        while (!answer) {
            context.run_one();
        }
        return *answer;
    }

    std::string value(const std::string &text)
    {
        send(text);
        const auto &received = wait();
        return received.rows.empty() || received.rows[0].empty() ? received.sqlState
                                                                 : received.rows[0][0].value_or("");
    }

    boost::asio::io_context &context;
    std::shared_ptr<load::PgConnection> connection;
    std::string error;
    std::optional<load::QueryResult> answer;
};

} // namespace

// Guards against destroying a connection while its statement waits for a table lock: only the
// timeout handler refers to it then.
Test(server, statementThatWaitsForATableIsAnswered)
{
    boost::asio::io_context context;
    Node node{context, "a"};
    Client holder{node};
    Client waiter{node};
    cr_assert_str_eq(holder.value("SELECT hyssoprock_promote(1, 'a=x')").c_str(), "1");
    static_cast<void>(holder.value("INSERT INTO t (id, v) VALUES (1, 1)"));
    static_cast<void>(holder.value("BEGIN; UPDATE t SET v = v + 1"));
    waiter.send("UPDATE t SET v = v + 1");
    static_cast<void>(holder.value("SELECT 1"));
    cr_assert_not(waiter.answer.has_value());
    static_cast<void>(holder.value("COMMIT"));
    cr_assert(waiter.wait().sqlState.empty() && !waiter.wait().connectionLost);
    cr_assert_str_eq(holder.value("SELECT v FROM t").c_str(), "3");
}

// Guards against a transaction that outlives its connection: its rows and table locks must be
// released.
Test(server, brokenConnectionRollsBack)
{
    boost::asio::io_context context;
    Node node{context, "a"};
    Client other{node};
    {
        Client lost{node};
        static_cast<void>(lost.value("SELECT hyssoprock_promote(1, 'a=x')"));
        static_cast<void>(lost.value("BEGIN; INSERT INTO t (id) VALUES (1); DELETE FROM u"));
        lost.connection->close();
    }
    cr_assert_str_eq(other.value("DELETE FROM u; SELECT count(*) FROM t").c_str(), "0");
}

// Guards against a commit or request id that is lost because the caller disconnects before the
// answer: callers use the id to find out whether the write was committed.
Test(server, commitWithoutItsAnswerIsFoundByItsRequestId)
{
    boost::asio::io_context context;
    Node node{context, "a"};
    Client lost{node};
    Client other{node};
    static_cast<void>(other.value("SELECT hyssoprock_promote(1, 'a=x')"));
    node.server.instance().faults.answerDelay = std::chrono::hours{1};
    lost.send("BEGIN; INSERT INTO t (id) VALUES (1);"
              "INSERT INTO hyssoprock_request (id) VALUES ('r1'); COMMIT");
    while (node.server.instance().database.visiblePosition().index < 2) {
        context.run_one();
    }
    cr_assert_not(lost.answer.has_value());
    lost.connection->close();
    node.server.instance().faults.answerDelay = Duration{0};
    const std::string lookUp = "SELECT count(*) FROM hyssoprock_request WHERE id = ";
    cr_assert_str_eq(other.value(lookUp + "'r1'").c_str(), "1");
    cr_assert_str_eq(other.value(lookUp + "'r2'").c_str(), "0");
    cr_assert_str_eq(other.value("SELECT count(*) FROM t").c_str(), "1");
}

// Guards against callers that use the connections reserved for observers, and against a connection
// limit that is not enforced.
Test(server, reservedConnectionsAreKeptForObservers)
{
    boost::asio::io_context context;
    Node node{context, "a"};
    const Client first{node};
    const Client second{node};
    const Client third{node};
    cr_assert(first.error.empty() && second.error.empty());
    cr_assert(third.error.find("no connection to spare") != std::string::npos);
    const Client observer{node, "hyssoprock-observer-1"};
    const Client control{node, "hyssoprock-control-1"};
    const Client overLimit{node, "hyssoprock-observer-2"};
    cr_assert(observer.error.empty() && control.error.empty());
    cr_assert_not(overLimit.error.empty());
}

// Guards against replication that works between state machines but not over TCP: covers entries,
// the majority index and truncation.
Test(server, replicasFollowOverTcp)
{
    boost::asio::io_context context;
    Node a{context, "a"};
    Node b{context, "b"};
    Client toA{a};
    Client toB{b};
    const auto voters = "'a=" + a.server.address() + ",b=" + b.server.address() + "'";
    static_cast<void>(toA.value("SELECT hyssoprock_promote(1, " + voters + ")"));
    static_cast<void>(toA.value("INSERT INTO t (id) VALUES ('unreplicated')"));
    static_cast<void>(toB.value("SELECT hyssoprock_promote(2, " + voters + ")"));
    static_cast<void>(toB.value("INSERT INTO t (id) VALUES ('kept')"));
    static_cast<void>(toA.value("SELECT hyssoprock_follow(2, 'b', '" + b.server.address() + "')"));
    while (b.server.instance().database.replication().majorityIndex() < 2
           || a.server.instance().database.replication().majorityIndex() < 2) {
        context.run_one();
    }
    cr_assert_str_eq(toA.value("SELECT id FROM t").c_str(), "kept");
    cr_assert_str_eq(toA.value("INSERT INTO t (id) VALUES (1)").c_str(), "25006");
    cr_assert(a.journal.entries == b.journal.entries);
}
