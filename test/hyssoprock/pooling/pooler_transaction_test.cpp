#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

ConnectionId lastConnection(const PoolerWorld &world)
{
    return world.expectations.runs().back().connection;
}

} // namespace

/// Guards against an error for a transaction that lost its connection before any statement was
/// sent.
Test(pooler_transaction, aConnectionLostBeforeTheBeginIsAnsweredIsReplaced)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    cr_assert(world.sendAndWait(caller, "BEGIN").kind == AnswerKind::Success);
    const auto write = world.send(caller, "WRITE a 2");
    world.group.dropConnection(lastConnection(world));
    world.run(100ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Success);
    cr_assert_eq(world.expectations.timesRun(write), 1U);
    cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Success);
    cr_assert(world.expectations.wasCommitted(write));
}

/// Guards against a transaction that continues on another connection without its first statements.
Test(pooler_transaction, aConnectionLostBetweenStatementsAborts)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    const auto write = world.lastId();
    world.group.dropConnection(lastConnection(world));
    world.run(20ms);
    const auto answer = world.sendAndWait(caller, "WRITE a 2");
    cr_assert(answer.kind == AnswerKind::Aborted);
    cr_assert(answer.state == TransactionState::Failed);
    cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Aborted);
    cr_assert(!world.expectations.wasCommitted(write));
    cr_assert(world.sendAndWait(caller, "WRITE a 3").kind == AnswerKind::Success);
}

/// Guards against a wrong answer to a statement in progress when the connection is lost. Without a
/// commit the transaction has no effect.
Test(pooler_transaction, aConnectionLostDuringAStatementAborts)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    const auto write = world.send(caller, "WRITE a 2");
    world.run(3ms);
    world.group.dropConnection(lastConnection(world));
    world.run(50ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(caller, "ROLLBACK").kind == AnswerKind::Success);
}

/// Guards against a commit of unknown outcome that is reported as committed or as rolled back.
Test(pooler_transaction, aConnectionLostDuringTheCommitIsUnknown)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    const auto write = world.lastId();
    const auto commit = world.send(caller, "COMMIT");
    world.run(3ms);
    world.group.dropConnection(lastConnection(world));
    world.run(100ms);
    cr_assert(world.answer(commit)->kind == AnswerKind::Unknown);
    cr_assert(world.answer(commit)->state == TransactionState::Idle);
    cr_assert(world.expectations.wasCommitted(write));
    cr_assert_eq(world.expectations.timesRun(commit), 1U);
}

/// Guards against a write that is repeated after it may have run.
Test(pooler_transaction, aConnectionLostDuringASingleWriteIsUnknown)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    const auto write = world.send(caller, "WRITE a 1");
    world.run(5ms);
    cr_assert_eq(world.expectations.timesRun(write), 1U);
    world.group.dropConnection(lastConnection(world));
    world.run(3s);
    cr_assert(world.answer(write)->kind == AnswerKind::Unknown);
    cr_assert_eq(world.expectations.timesRun(write), 1U);
}

/// Guards against a write that is repeated when its answer is lost, and against reusing a
/// connection with an unanswered command.
Test(pooler_transaction, aWriteWithoutAnAnswerTimesOut)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    const auto used = lastConnection(world);
    world.group.delayNextResponse("d1", 1500ms);
    cr_assert(world.sendAndWait(caller, "WRITE a 2").kind == AnswerKind::TimedOut);
    cr_assert_eq(world.expectations.timesRun(world.lastId()), 1U);
    cr_assert(world.sendAndWait(caller, "WRITE a 3").kind == AnswerKind::Success);
    cr_assert_neq(lastConnection(world), used);
    world.run(2s);
}

/// Guards against the loss of a write that a deposed primary refused without running it.
Test(pooler_transaction, aWriteRefusedByADeposedPrimaryRunsOnTheNewOne)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    world.group.promote("d3");
    const auto write = world.send(caller, "WRITE a 2");
    world.run(60ms);
    cr_assert(world.answer(write) == nullptr);
    world.announceEndpoints();
    world.announcePrimary();
    world.run(60ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Success);
    cr_assert_eq(world.lastEndpointOf(write), "d3");
}

/// Guards against a transaction that spans a promotion and is committed partially.
Test(pooler_transaction, aTransactionOnADeposedPrimaryAborts)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    const auto write = world.lastId();
    world.promote("d2");
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(caller, "COMMIT").kind == AnswerKind::Aborted);
    cr_assert(!world.expectations.wasCommitted(write));
}

/// Guards against locks that an idle transaction holds for ever.
Test(pooler_transaction, anIdleTransactionIsEnded)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(2900ms);
    cr_assert_eq(world.group.count("d1", EndpointCommandKind::Rollback), 0U);
    world.run(200ms);
    cr_assert_eq(world.group.count("d1", EndpointCommandKind::Rollback), 1U);
    cr_assert(world.sendAndWait(caller, "WRITE a 2").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(caller, "ROLLBACK").kind == AnswerKind::Success);
    cr_assert(world.sendAndWait(caller, "WRITE a 3").kind == AnswerKind::Success);
}

/// Guards against effects of a transaction whose caller has disconnected.

Test(pooler_transaction, aTransactionWhoseCallerLeftIsRolledBack)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    const auto write = world.lastId();
    world.disconnect(caller);
    world.run(50ms);
    cr_assert_eq(world.group.count("d1", EndpointCommandKind::Rollback), 1U);
    cr_assert(!world.expectations.wasCommitted(write));
}
