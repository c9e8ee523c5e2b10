#include "golden_world.hpp"
#include "scripts.hpp"

/// @file
/// @brief Scripts about planned stops, rule changes, unknown outcomes and leaving hosts.

namespace hyssoprock::golden {

namespace {

const std::string insertSql = "INSERT INTO t (a) VALUES ('1')";
const std::string readSql = "/*class='read',kind='order',understands='1'*/ SELECT a FROM t";
constexpr auto open = TransactionState::Open;

std::string readOf(const std::string &versions)
{
    return "/*class='read',kind='order',understands='" + versions + "'*/ SELECT * FROM t";
}

std::string insertOf(int version)
{
    return "/*kind='order',writes_version='" + std::to_string(version) + "'*/ " + insertSql;
}

ResultRow record(const std::string &version, const std::string &value)
{
    return {version, value};
}

StatementResult records(const std::vector<ResultRow> &rows)
{
    return resultWithRows({"schema_version", "a"}, rows);
}

} // namespace

std::string plannedStop()
{
    GoldenWorld world{"A planned stop of the primary holds new work and loses none"};
    world.addHost(0, "entry-1");
    const auto writer = world.connect(10, "entry-1", "new");
    const auto reader = world.connect(10, "entry-1", "new");
    world.statement(20, writer, "BEGIN");
    world.reply(23, writer, resultWithTag("BEGIN"), open);
    world.changeView(100, 1, GroupState::Handover, "ep-1", "ep-1");
    world.statement(110, reader, insertSql);
    world.reportQuiesced(115, "entry-1");
    world.statement(120, writer, insertSql);
    world.reply(122, writer, resultWithTag("INSERT 0 1"), open);
    world.statement(130, writer, "COMMIT");
    world.endpoint("ep-1") = {{1, 11}, 10, EndpointRole::Primary};
    world.reply(132, writer, resultWithTag("COMMIT"));
    world.reportQuiesced(133, "entry-1");
    world.endpoint("ep-1").majorityIndex = 11;
    world.reportQuiesced(150, "entry-1");
    world.changeView(160, 2, GroupState::Electing, "", "ep-1");
    world.endpoint("ep-1").role = EndpointRole::Fenced;
    world.endpoint("ep-2") = {{2, 12}, 12, EndpointRole::Primary};
    world.changeView(180, 2, GroupState::Active, "ep-2", "ep-1");
    world.endpoint("ep-2") = {{2, 13}, 13, EndpointRole::Primary};
    world.reply(190, reader, resultWithTag("INSERT 0 1"));
    world.statement(200, writer, readSql);
    world.serveRead(204, writer, resultWithRows({"a"}, {{"1"}, {"1"}}));
    return world.transcript();
}

std::string abortedStop()
{
    GoldenWorld world{"A planned stop that does not quiesce in time is aborted; the queue is "
                      "released and the transaction goes on"};
    world.addHost(0, "entry-1");
    const auto writer = world.connect(10, "entry-1", "new");
    const auto other = world.connect(10, "entry-1", "new");
    world.statement(20, writer, "BEGIN");
    world.reply(23, writer, resultWithTag("BEGIN"), open);
    world.changeView(100, 1, GroupState::Handover, "ep-1", "ep-1");
    world.statement(110, other, insertSql);
    world.changeView(2100, 1, GroupState::Active, "ep-1", "ep-1");
    world.endpoint("ep-1") = {{1, 11}, 11, EndpointRole::Primary};
    world.reply(2110, other, resultWithTag("INSERT 0 1"));
    world.statement(2120, writer, "COMMIT");
    world.endpoint("ep-1") = {{1, 12}, 12, EndpointRole::Primary};
    world.reply(2124, writer, resultWithTag("COMMIT"));
    return world.transcript();
}

std::string ruleChange()
{
    GoldenWorld world{"A rule change between two schema versions"};
    world.addHost(0, "entry-1");
    const auto session = world.connect(10, "entry-1", "new");
    const auto older = world.connect(10, "entry-1", "new");
    world.statement(20, session, readOf("1,2"));
    world.serveRead(24, session, records({record("1", "x")}));

    auto rule = world.rule();
    rule.versions = {VersionRule{1, LogPosition{0, 0}, true}, VersionRule{2, std::nullopt, true}};
    world.changeRule(100, rule, "versions 1 and 2 side by side, 1 complete, both writable");
    world.statement(110, older, "/*kind='order',understands='1',writes_version='1'*/ BEGIN");
    world.reply(113, older, resultWithTag("BEGIN"), open);
    world.statement(120, session, readOf("1,2"));
    world.serveRead(124, session, records({record("1", "x"), record("2", "y")}));
    world.statement(130, session, readOf("2"));
    world.advance(140);
    world.statement(150, session, insertSql);
    world.endpoint("ep-1") = {{1, 11}, 11, EndpointRole::Primary};
    world.reply(154, session, resultWithTag("INSERT 0 1"));
    world.statement(160, session, insertOf(2));
    world.endpoint("ep-1") = {{1, 12}, 12, EndpointRole::Primary};
    world.reply(164, session, resultWithTag("INSERT 0 1"));

    rule.versions = {VersionRule{1, LogPosition{0, 0}, false},
                     VersionRule{2, LogPosition{1, 20}, true}};
    world.changeRule(300, rule, "version 2 complete from 1/20, version 1 no longer writable");
    world.statement(310, session, readOf("2"));
    world.note(312, "the primary is at 1/12, so version 2 is not complete there");
    world.advance(313);
    world.serveRead(316, session, records({record("2", "y")}));
    world.note(380, "the records of version 1 have been copied");
    world.endpoint("ep-1") = {{1, 20}, 20, EndpointRole::Primary};
    world.statement(390, session, readOf("2"));
    world.serveRead(394, session, records({record("2", "x"), record("2", "y")}));
    world.statement(410, session, insertOf(1));
    world.statement(420, session, insertOf(2));
    world.endpoint("ep-1") = {{1, 21}, 21, EndpointRole::Primary};
    world.reply(424, session, resultWithTag("INSERT 0 1"));

    world.note(430, "the transaction of session 2 keeps revision 2");
    world.statement(440, older, insertOf(1));
    world.reply(444, older, resultWithTag("INSERT 0 1"), open);
    world.statement(450, older, readOf("1"));
    world.reply(454, older, records({record("1", "x")}), open);
    world.statement(460, older, "COMMIT");
    world.endpoint("ep-1") = {{1, 22}, 22, EndpointRole::Primary};
    world.reply(464, older, resultWithTag("COMMIT"));
    world.statement(470, older, insertOf(1));
    world.statement(480, session, readOf("2"));
    world.serveRead(484, session, records({record("1", "x")}));
    return world.transcript();
}

namespace {

/// Runs a write with a request id whose connection is lost, up to the term of the new primary.
std::uint64_t loseWrite(GoldenWorld &world)
{
    world.addHost(0, "entry-1");
    const auto session = world.connect(10, "entry-1", "new");
    world.statement(20, session, "/*request_id='r-1'*/ " + insertSql);
    world.advance(22);
    world.loseConnection(30, session);
    world.advance(32);
    world.reply(34, session, resultWithRows({"id"}, {}));
    world.note(36, "ep-1 answers in the same term: a missing id proves nothing");
    world.changeView(50, 2, GroupState::Electing, "");
    world.endpoint("ep-1").role = EndpointRole::Fenced;
    world.endpoint("ep-2") = {{2, 12}, 11, EndpointRole::Primary};
    world.changeView(300, 2, GroupState::Active, "ep-2");
    world.advance(302);
    return session;
}

} // namespace

std::string settledAsDone()
{
    GoldenWorld world{"An unknown outcome that is settled as done"};
    const auto session = loseWrite(world);
    world.reply(304, session, resultWithRows({"id"}, {{"r-1"}}));
    world.endpoint("ep-2").majorityIndex = 12;
    world.advance(320);
    world.statement(330, session, readSql);
    world.serveRead(334, session, resultWithRows({"a"}, {{"1"}}));
    return world.transcript();
}

std::string settledAsNotRun()
{
    GoldenWorld world{"An unknown outcome that is settled as not run"};
    const auto session = loseWrite(world);
    world.reply(304, session, resultWithRows({"id"}, {}));
    world.endpoint("ep-2").majorityIndex = 12;
    world.advance(320);
    world.note(325, "the same without a request id: the outcome stays unknown");
    world.statement(330, session, insertSql);
    world.advance(332);
    world.loseConnection(334, session);
    world.statement(340, session, readSql);
    world.serveRead(344, session, resultWithRows({"a"}, {}));
    return world.transcript();
}

std::string leavingHost()
{
    GoldenWorld world{"An entry host that is leaving ends sessions between requests"};
    world.addHost(0, "entry-1");
    const auto idle = world.connect(10, "entry-1", "new");
    const auto busy = world.connect(10, "entry-1", "new");
    const auto inTransaction = world.connect(10, "entry-1", "new");
    static_cast<void>(idle);
    world.statement(20, inTransaction, "BEGIN");
    world.reply(23, inTransaction, resultWithTag("BEGIN"), open);
    world.statement(30, busy, insertSql);
    world.advance(35);
    world.leave(40, "entry-1");
    world.endpoint("ep-1") = {{1, 11}, 10, EndpointRole::Primary};
    world.reply(50, busy, resultWithTag("INSERT 0 1"));
    world.endpoint("ep-1").majorityIndex = 11;
    world.advance(70);
    world.statement(80, inTransaction, insertSql);
    world.reply(84, inTransaction, resultWithTag("INSERT 0 1"), open);
    world.statement(90, inTransaction, "COMMIT");
    world.endpoint("ep-1") = {{1, 12}, 12, EndpointRole::Primary};
    world.reply(94, inTransaction, resultWithTag("COMMIT"));
    return world.transcript();
}

const std::vector<Script> &scripts()
{
    static const std::vector<Script> all{
        {"roam_and_failover", &roamAndFailover},
        {"roam_without_token", &roamWithoutToken},
        {"refusals", &refusals},
        {"planned_stop", &plannedStop},
        {"aborted_stop", &abortedStop},
        {"rule_change", &ruleChange},
        {"settled_as_done", &settledAsDone},
        {"settled_as_not_run", &settledAsNotRun},
        {"leaving_host", &leavingHost},
    };
    return all;
}

} // namespace hyssoprock::golden
