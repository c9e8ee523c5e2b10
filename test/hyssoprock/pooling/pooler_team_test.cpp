#include <criterion/criterion.h>

#include <string>
#include <vector>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

constexpr auto *primary = "d1";

DeploymentDocument teamDocument()
{
    auto result = test::makeThreeRouteDocument();
    result.teams = {Team{"lab", {"lab-1", "lab-2"}, 0, 0, 0}, Team{"jobs", {"jobs-1"}, 1, 0, 0}};
    return result;
}

DeploymentDocument withoutKey(const std::string &key)
{
    auto result = teamDocument();
    result.version = 2;
    for (auto &team : result.teams) {
        std::erase(team.keys, key);
    }
    return result;
}

test::GroupSettings connectionsMax(std::size_t connections)
{
    test::GroupSettings result;
    result.connectionsMax = connections;
    return result;
}

} // namespace

/// Guards against callers that are served without a key, and against a document without teams that
/// requires one.
Test(pooler_team, onlyKnownKeysAreAccepted)
{
    PoolerWorld world{1, {}, teamDocument()};
    const auto unknown = world.connect("primary", "lab-3");
    cr_assert(world.refusals.at(unknown) == AnswerKind::NotAuthorized);
    const auto nowhere = world.connect("none", "lab-3");
    cr_assert(world.refusals.at(nowhere) == AnswerKind::NoDatabase);
    const auto known = world.connect("primary", "lab-2");
    cr_assert(world.sendAndWait(known, "WRITE a 1").kind == AnswerKind::Success);
    PoolerWorld open{1};
    cr_assert(open.sendAndWait(open.connect("primary", "any"), "WRITE a 1").kind
              == AnswerKind::Success);
}

/// Guards against a public route that refuses callers without a key.
Test(pooler_team, aPublicRouteNeedsNoKey)
{
    auto document = teamDocument();
    document.routes[0].isPublic = true;
    PoolerWorld world{1, {}, document};
    cr_assert(world.sendAndWait(world.connect("primary", "any"), "WRITE a 1").kind
              == AnswerKind::Success);
    cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{""});
    cr_assert(world.sendAndWait(world.connect("primary", "lab-1"), "WRITE a 1").kind
              == AnswerKind::Success);
    cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{"lab"});
    cr_assert(world.refusals.at(world.connect("bounded", "any")) == AnswerKind::NotAuthorized);
}

/// Guards against statements that run on a connection of another team. The endpoint accepts one
/// connection, so each change of the team has to replace it.
Test(pooler_team, aConnectionServesOneTeam)
{
    PoolerWorld world{1, connectionsMax(1), teamDocument()};
    const auto lab = world.connect("primary", "lab-1");
    const auto jobs = world.connect("primary", "jobs-1");
    for (auto i = 0; i < 3; ++i) {
        cr_assert(world.sendAndWait(lab, "WRITE a 1").kind == AnswerKind::Success);
        cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{"lab"});
        cr_assert(world.sendAndWait(jobs, "WRITE a 1").kind == AnswerKind::Success);
        cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{"jobs"});
    }
}

/// Guards against a team that waits for ever for a connection while idle ones of another team use
/// up the quota of the host.
Test(pooler_team, anIdleConnectionOfAnotherTeamMakesRoom)
{
    auto document = teamDocument();
    document.services[0].connectionsMax = 5; // Two for this host: five less the reserved three.
    PoolerWorld world{1, {}, document};
    const auto first = world.connect("primary", "lab-1");
    const auto second = world.connect("primary", "lab-2");
    world.send(first, "WRITE a 1");
    world.send(second, "WRITE b 1");
    world.run(100ms);
    cr_assert_eq(world.group.connections(primary).size(), 2U);
    const auto jobs = world.connect("primary", "jobs-1");
    cr_assert(world.sendAndWait(jobs, "WRITE a 1").kind == AnswerKind::Success);
    cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{"jobs"});
    cr_assert_eq(world.group.connections(primary).size(), 2U);
}

/// Guards against a removed key that stays in use in sessions that are open.
Test(pooler_team, aRemovedKeyIsRefusedInOpenSessions)
{
    PoolerWorld world{1, {}, teamDocument()};
    const auto removed = world.connect("primary", "lab-1");
    const auto kept = world.connect("primary", "lab-2");
    cr_assert(world.sendAndWait(removed, "WRITE a 1").kind == AnswerKind::Success);
    world.announce(withoutKey("lab-1"));
    cr_assert(world.sendAndWait(removed, "WRITE a 1").kind == AnswerKind::NotAuthorized);
    cr_assert(world.sendAndWait(removed, "BEGIN").kind == AnswerKind::NotAuthorized);
    cr_assert(world.sendAndWait(kept, "WRITE a 1").kind == AnswerKind::Success);
    cr_assert(world.refusals.at(world.connect("primary", "lab-1")) == AnswerKind::NotAuthorized);
    auto again = teamDocument();
    again.version = 3;
    world.announce(again);
    cr_assert(world.sendAndWait(removed, "WRITE a 1").kind == AnswerKind::Success);
}

/// Guards against a transaction that commits after its key was removed.
Test(pooler_team, aTransactionIsRolledBackWhenItsKeyIsRemoved)
{
    PoolerWorld world{1, {}, teamDocument()};
    const auto idle = world.connect("primary", "lab-1");
    world.sendAndWait(idle, "BEGIN");
    cr_assert(world.sendAndWait(idle, "WRITE a 1").kind == AnswerKind::Success);
    const auto unused = world.connect("primary", "lab-1");
    world.sendAndWait(unused, "BEGIN");
    world.announce(withoutKey("lab-1"));
    world.run(50ms);
    cr_assert(world.sendAndWait(idle, "COMMIT").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(unused, "WRITE a 1").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(unused, "COMMIT").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(idle, "BEGIN").kind == AnswerKind::NotAuthorized);
}

/// Guards against a key that moves to another team in the middle of a transaction.
Test(pooler_team, aTransactionEndsWhenItsKeyMovesToAnotherTeam)
{
    PoolerWorld world{1, {}, teamDocument()};
    const auto caller = world.connect("primary", "lab-1");
    world.sendAndWait(caller, "BEGIN");
    cr_assert(world.sendAndWait(caller, "WRITE a 1").kind == AnswerKind::Success);
    auto moved = withoutKey("lab-1");
    moved.teams[1].keys.emplace_back("lab-1");
    world.announce(moved);
    cr_assert(world.sendAndWait(caller, "WRITE b 1").kind == AnswerKind::Aborted);
    world.sendAndWait(caller, "ROLLBACK");
    cr_assert(world.sendAndWait(caller, "WRITE b 1").kind == AnswerKind::Success);
    cr_assert(world.teamsOf(world.lastId()) == std::vector<std::string>{"jobs"});
}

/// Guards against a transaction on a route that is dropped later being taken for unauthorized.
Test(pooler_team, aTransactionGoesOnWhenItsRouteIsDropped)
{
    auto document = teamDocument();
    document.routes[0].isPublic = true;
    PoolerWorld world{1, {}, document};
    for (const auto *key : {"lab-1", "any"}) {
        world.announce(document);
        const auto caller = world.connect("primary", key);
        world.sendAndWait(caller, "BEGIN");
        cr_assert(world.sendAndWait(caller, "WRITE a 1").kind == AnswerKind::Success);
        auto dropped = document;
        std::erase_if(dropped.routes,
                      [](const Route &route) { return route.database == "primary"; });
        world.announce(dropped);
        cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Success);
    }
}
