#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

/// Callers of PoolerWorld give the key "user".
DeploymentDocument makeDocument(std::uint32_t operationsPerSecond)
{
    auto document = test::makeThreeRouteDocument();
    document.teams.push_back({"t", {"user"}, 0, operationsPerSecond, 1});
    return document;
}

PoolerWorld makeWorld(std::uint32_t operationsPerSecond = 10)
{
    return PoolerWorld{1, {}, makeDocument(operationsPerSecond)};
}

void expectRequests(const PoolerWorld &world, const std::vector<std::uint32_t> &counts)
{
    cr_assert_eq(world.allowanceRequests.size(), counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i) {
        cr_assert_eq(world.allowanceRequests[i].team, "t");
        cr_assert_eq(world.allowanceRequests[i].count, counts[i]);
    }
}

/// Grants one operation and runs the simulation until the statement is answered.
void expectRunsWhenGranted(PoolerWorld &world, const std::string &id)
{
    cr_assert_null(world.answer(id));
    cr_assert(world.lastEndpointOf(id).empty(), "nothing runs before it is granted");
    world.handle(pooler::AllowanceGranted{"t", 1});
    world.run(200ms);
    cr_assert_not_null(world.answer(id));
    cr_assert(world.answer(id)->kind == AnswerKind::Success);
}

void expectRefused(const PoolerWorld &world, const std::string &id)
{
    cr_assert_not_null(world.answer(id));
    cr_assert(world.answer(id)->kind == AnswerKind::Busy);
    cr_assert(world.lastEndpointOf(id).empty());
}

} // namespace

/// Guards against statements over the limit of a team that reach an endpoint.
Test(poolerAllowance, aStatementRunsOnlyAfterItsOperationIsGranted)
{
    auto world = makeWorld();
    const auto first = world.connect("bounded");
    const auto second = world.connect("primary");
    const auto read = world.send(first, "READ a");
    const auto write = world.send(second, "WRITE a");
    world.run(100ms);
    expectRequests(world, {1, 2});
    expectRunsWhenGranted(world, read);
    expectRunsWhenGranted(world, write);
}

/// Guards against callers that wait although the limit is reached, and against refusals without the
/// name of the team or a time that is too short.
Test(poolerAllowance, aDeniedStatementIsRefusedAtOnce)
{
    auto world = makeWorld();
    const auto caller = world.connect("primary");
    const auto refused = world.send(caller, "WRITE a");
    const auto next = world.send(caller, "WRITE b");
    world.handle(pooler::AllowanceDenied{"t", 24'001us, true});
    expectRefused(world, refused);
    cr_assert_eq(world.answer(refused)->text, "team t is over its limit; retry after 25 ms");
    cr_assert_eq(world.pooler.counters()->overLimitRefusals, 1);
    expectRequests(world, {1, 1});
    expectRunsWhenGranted(world, next);
    world.handle(pooler::AllowanceDenied{"other", 1s, true});
}

/// Guards against a transaction that is counted with each of its statements, or not at all.
Test(poolerAllowance, aTransactionIsOneOperation)
{
    auto world = makeWorld();
    const auto caller = world.connect("primary");
    cr_assert(world.sendAndWait(caller, "BEGIN").kind == AnswerKind::Success);
    expectRequests(world, {});
    expectRunsWhenGranted(world, world.send(caller, "WRITE a"));
    cr_assert(world.sendAndWait(caller, "WRITE b").kind == AnswerKind::Success);
    cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Success);
    expectRequests(world, {1});
    (void)world.send(caller, "READ a");
    expectRequests(world, {1, 1});
}

/// Guards against a refused transaction whose later statements run without being counted.
Test(poolerAllowance, aTransactionWhoseFirstStatementIsDeniedFails)
{
    auto world = makeWorld();
    const auto caller = world.connect("primary");
    cr_assert(world.sendAndWait(caller, "BEGIN").kind == AnswerKind::Success);
    const auto refused = world.send(caller, "WRITE a");
    world.handle(pooler::AllowanceDenied{"t", 10ms, true});
    expectRefused(world, refused);
    cr_assert(world.answer(refused)->state == TransactionState::Failed);
    cr_assert(world.sendAndWait(caller, "WRITE b").kind == AnswerKind::Malformed);
    cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(caller, "BEGIN").kind == AnswerKind::Success);
    const auto commit = world.send(caller, "COMMIT");
    world.handle(pooler::AllowanceDenied{"t", 10ms, true});
    expectRefused(world, commit);
    cr_assert(world.answer(commit)->state == TransactionState::Idle);
}

/// Guards against a caller that waits without end while no control host answers.
Test(poolerAllowance, aStatementThatIsNotDecidedInTimeIsRefused)
{
    auto world = makeWorld();
    const auto sent = world.send(world.connect("primary"), "WRITE a");
    world.run(899ms);
    cr_assert_null(world.answer(sent));
    world.run(1ms);
    expectRefused(world, sent);
    cr_assert_eq(world.pooler.counters()->noAllowanceRefusals, 1);
    expectRequests(world, {1, 0});
    world.handle(pooler::AllowanceGranted{"t", 1});
    world.run(100ms);
    cr_assert(world.lastEndpointOf(sent).empty(), "a late grant has no effect");
}

/// Guards against grants that are used up by callers that have disconnected.
Test(poolerAllowance, aDisconnectedCallerNoLongerWaits)
{
    auto world = makeWorld();
    const auto gone = world.connect("primary");
    (void)world.send(gone, "WRITE a");
    const auto sent = world.send(world.connect("primary"), "WRITE b");
    world.disconnect(gone);
    expectRequests(world, {1, 2, 1});
    expectRunsWhenGranted(world, sent);
}

/// Guards against statements that wait for a limit that a newer document has removed, and against
/// requests of teams without a limit.
Test(poolerAllowance, aRemovedLimitEndsTheWait)
{
    auto world = makeWorld();
    const auto caller = world.connect("primary");
    const auto sent = world.send(caller, "WRITE a");
    world.announce(makeDocument(20));
    cr_assert_null(world.answer(sent));
    world.announce(makeDocument(0));
    expectRequests(world, {1, 0});
    world.run(100ms);
    cr_assert(world.answer(sent) != nullptr && world.answer(sent)->kind == AnswerKind::Success);
    cr_assert(world.sendAndWait(caller, "WRITE b").kind == AnswerKind::Success);
    expectRequests(world, {1, 0});
}

/// Guards against a host that closes a caller without an answer when it is stopped.
Test(poolerAllowance, aWaitingStatementIsAnsweredBeforeShutdown)
{
    auto document = makeDocument(10);
    for (auto &route : document.routes) {
        route.statementTimeout = 60s;
    }
    PoolerWorld world{1, {}, document};
    const auto sent = world.send(world.connect("primary"), "WRITE a");
    world.handle(pooler::ShutdownStarted{2s, 4s});
    world.run(5s);
    expectRefused(world, sent);
    cr_assert(world.finished);
    expectRequests(world, {1, 0});
}
