#include "golden_world.hpp"
#include "scripts.hpp"

/// @file
/// @brief Scripts about sessions that move between hosts, and about refusals.

namespace hyssoprock::golden {

namespace {

const std::string readSql = "/*class='read',kind='order',understands='1'*/ SELECT a FROM t";
const std::string insertSql = "INSERT INTO t (a) VALUES ('1')";

StatementResult one(const std::string &value)
{
    return resultWithRows({"a"}, {{value}});
}

void failOver(GoldenWorld &world, int ms)
{
    world.endpoint("ep-1").role = EndpointRole::Fenced;
    world.changeView(ms, 2, GroupState::Electing, "");
    world.endpoint("ep-2") = {{1, 11}, 11, EndpointRole::Replica};
    world.endpoint("ep-3") = {{1, 11}, 11, EndpointRole::Replica};
}

} // namespace

std::string roamAndFailover()
{
    GoldenWorld world{"Connect, write, roam with the token, failover, read"};
    world.addHost(0, "entry-1");
    world.addHost(0, "entry-2");
    const auto first = world.connect(10, "entry-1", "new");
    world.statement(20, first, insertSql);
    world.endpoint("ep-1") = {{1, 11}, 10, EndpointRole::Primary};
    world.reply(24, first, resultWithTag("INSERT 0 1"));
    world.endpoint("ep-1").majorityIndex = 11;
    world.advance(40);
    world.disconnectCaller(50, first);

    const auto second = world.connect(60, "entry-2", world.token(first));
    world.statement(70, second, readSql);
    world.serveRead(74, second, one("1"));
    world.note(80, "ep-2 has the write, ep-3 lags behind it");
    world.endpoint("ep-2") = {{1, 11}, 11, EndpointRole::Replica};
    world.statement(90, second, readSql);
    world.serveRead(94, second, one("1"));

    failOver(world, 200);
    world.statement(210, second, readSql);
    const auto third = world.connect(215, "entry-1", world.token(second));
    world.statement(220, third, insertSql);
    world.note(600, "the read tries a replica, but no age can be proven without a primary");
    world.reply(601, second, one("1"));
    world.reply(603, second, one("1"));
    world.changeView(900, 2, GroupState::Active, "ep-2");
    world.endpoint("ep-2") = {{2, 13}, 12, EndpointRole::Primary};
    world.reply(906, third, resultWithTag("INSERT 0 1"));
    world.endpoint("ep-2").majorityIndex = 13;
    world.serveRead(920, second, resultWithRows({"a"}, {{"1"}, {"1"}}));
    world.endpoint("ep-3") = {{2, 13}, 13, EndpointRole::Replica};
    world.note(1500, "ep-3 follows the new primary");
    world.statement(1510, second, readSql);
    world.serveRead(1514, second, resultWithRows({"a"}, {{"1"}, {"1"}}));
    return world.transcript();
}

std::string roamWithoutToken()
{
    GoldenWorld world{"A session that roams without its token reads from the primary first"};
    world.addHost(0, "entry-1");
    world.addHost(0, "entry-2");
    const auto warm = world.connect(5, "entry-2", "new");
    world.statement(6, warm, readSql);
    world.serveRead(8, warm, one("1"));

    const auto first = world.connect(10, "entry-1", "new");
    world.statement(20, first, insertSql);
    world.endpoint("ep-1") = {{1, 11}, 11, EndpointRole::Primary};
    world.reply(24, first, resultWithTag("INSERT 0 1"));
    const auto second = world.connect(30, "entry-2", "");
    world.statement(40, second, readSql);
    world.serveRead(44, second, one("1"));
    world.note(50, "the floor is known now; a replica that has not reached it is no use");
    world.endpoint("ep-2") = {{1, 11}, 11, EndpointRole::Replica};
    world.statement(60, second, readSql);
    world.serveRead(64, second, one("1"));
    static_cast<void>(world.connect(70, "entry-2", "not-a-token"));
    const auto fourth = world.connect(80, "entry-2", "");
    world.statement(90, fourth, "SET hyssoprock.session = 'damaged'");
    world.statement(100, fourth, "SET hyssoprock.session = '" + world.token(first) + "'");
    return world.transcript();
}

std::string refusals()
{
    GoldenWorld world{"Refusals: queue full, version not understood, no lease, age not proven"};
    world.addHost(0, "entry-1");
    const auto session = world.connect(10, "entry-1", "new");
    world.admission = Admission::QueueFull;
    world.statement(20, session, insertSql);
    world.advance(30);
    world.admission = Admission::Hold;
    world.statement(40, session, insertSql);
    world.advance(1050);
    world.admission = Admission::Grant;
    world.statement(1100, session, "/*class='read',kind='order',understands='7'*/ SELECT a FROM t");
    world.advance(1110);
    world.statement(1120, session, "/*kind='order',writes_version='7'*/ " + insertSql);
    world.statement(1130, session, readSql);
    world.serveRead(1134, session, one("1"));

    world.cutOff(1200, "entry-1");
    const auto lease = 1200 + 1500;
    world.note(lease, "the lease has expired");
    world.statement(lease + 10, session, insertSql);
    world.advance(lease + 1100);
    world.statement(lease + 1200, session, readSql);
    world.serveRead(lease + 1204, session, one("1"));
    return world.transcript();
}

} // namespace hyssoprock::golden
