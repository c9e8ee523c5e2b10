#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

/// Makes the primary the most expensive choice by placing it in a remote data centre.
void preferReplicas(PoolerWorld &world)
{
    auto records = world.group.records();
    for (auto &record : records) {
        record.dataCentre = record.role == EndpointRole::Primary ? "b" : "a";
    }
    world.handle(pooler::EndpointsChanged{std::move(records)});
}

/// Runs reads until connections to replicas are open; a read prefers an open connection.
void warmUp(PoolerWorld &world, CallerId caller)
{
    for (auto i = 0; i < 3; ++i) {
        world.sendAndWait(caller, "READ a");
        world.run(20ms);
    }
}

} // namespace

/// Guards against a read under the primary rule that runs on a replica or a deposed primary.
Test(pooler_read, aPrimaryReadRunsInAPlainTransactionThatIsRolledBack)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
    world.run(20ms);
    cr_assert_eq(world.lastEndpointOf(world.lastId()), "d1");
    cr_assert(world.expectations.runs().back().inTransaction);
    cr_assert_eq(world.group.count("d1", EndpointCommandKind::Begin), 1U);
    cr_assert_eq(world.group.count("d1", EndpointCommandKind::Rollback), 1U);
}

/// Guards against a read on a primary that was deposed without this host's knowledge.
Test(pooler_read, aDeposedPrimaryIsLeftForTheNewOne)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(50ms);
    world.group.promote("d2");
    const auto read = world.send(caller, "READ a");
    world.run(100ms);
    cr_assert(world.answer(read) == nullptr);
    cr_assert_eq(world.expectations.timesRun(read), 0U);
    cr_assert_eq(world.reports.size(), 1U);
    cr_assert(world.reports.front().reachability == Reachability::NotPrimary);
    world.announcePrimary();
    world.run(50ms);
    cr_assert(world.answer(read)->kind == AnswerKind::Success);
    cr_assert_eq(world.lastEndpointOf(read), "d2");
}

/// Guards against a read that fails, or returns old data, because its replica lags.
Test(pooler_read, aReadRefusedAsLaggingRunsElsewhere)
{
    PoolerWorld world;
    preferReplicas(world);
    const auto caller = world.connect("own");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(50ms);
    warmUp(world, caller);
    const auto replica = world.lastEndpointOf(world.lastId());
    cr_assert_neq(replica, "d1");
    const auto before = world.group.count(replica, EndpointCommandKind::Forward);
    world.group.setReplicationPaused("d2", true);
    world.group.setReplicationPaused("d3", true);
    world.sendAndWait(caller, "WRITE a 2");
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
    cr_assert_eq(world.lastEndpointOf(world.lastId()), "d1");
    cr_assert_gt(world.group.count(replica, EndpointCommandKind::Forward), before);
}

/// Guards against bounded reads on the primary while a replica is fresh enough.
Test(pooler_read, aReplicaThatIsFreshEnoughRunsTheRead)
{
    PoolerWorld world;
    preferReplicas(world);
    const auto caller = world.connect("bounded");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(100ms);
    warmUp(world, caller);
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
    cr_assert_neq(world.lastEndpointOf(world.lastId()), "d1");
}

/// Guards against a session floor that no endpoint can reach after a promotion has rolled back the
/// session's commit; every read would be refused as lagging.
Test(pooler_read, theFloorIsTranslatedAfterAPromotionThatRolledBack)
{
    PoolerWorld world;
    world.group.setReplicationPaused("d2", true);
    world.group.setReplicationPaused("d3", true);
    const auto caller = world.connect("own");
    for (auto i = 0; i < 5; ++i) {
        world.sendAndWait(caller, "WRITE a 1");
    }
    world.promote("d2");
    cr_assert_eq(world.expectations.acknowledgedLostCount(), 5U);
    world.group.setReplicationPaused("d3", false);
    world.group.setReplicationPaused("d2", false);
    const auto other = world.connect("primary");
    cr_assert(world.sendAndWait(other, "WRITE b 1").kind == AnswerKind::Success);
    world.run(100ms);
    preferReplicas(world);
    warmUp(world, caller);
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
    cr_assert_neq(world.lastEndpointOf(world.lastId()), "d2");
}

/// Guards against a read that fails because its answer is lost, and against a late answer that is
/// matched to a later statement.
Test(pooler_read, aReadWithoutAnAnswerRunsElsewhereAndItsLateAnswerIsDropped)
{
    PoolerWorld world;
    const auto caller = world.connect("bounded");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(50ms);
    const auto warm = world.sendAndWait(caller, "READ a");
    cr_assert(warm.kind == AnswerKind::Success);
    const auto first = world.lastEndpointOf(world.lastId());
    world.group.delayNextResponse(first, 700ms);
    const auto read = world.send(caller, "READ a");
    world.run(400ms);
    cr_assert(world.answer(read) != nullptr);
    cr_assert(world.answer(read)->kind == AnswerKind::Success);
    cr_assert_eq(world.expectations.timesRun(read), 2U);
    cr_assert_neq(world.lastEndpointOf(read), first);
    for (auto i = 0; i < 50; ++i) {
        // CallerExpectations checks which statement each answer belongs to.
        cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
        world.run(10ms);
    }
    cr_assert_eq(world.expectations.timesRun(read), 2U);
}

/// Guards against a read that is refused although another endpoint could run it.
Test(pooler_read, aReadWhoseConnectionIsLostRunsAgain)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    world.run(20ms);
    const auto read = world.send(caller, "READ a");
    world.run(4ms);
    cr_assert_eq(world.expectations.timesRun(read), 1U);
    world.group.dropConnection(world.expectations.runs().back().connection);
    world.run(100ms);
    cr_assert(world.answer(read)->kind == AnswerKind::Success);
    cr_assert_eq(world.expectations.timesRun(read), 2U);
}

/// Guards against new work for an endpoint that is shutting down.
Test(pooler_read, aDrainingReplicaGetsNoNewWork)
{
    PoolerWorld world;
    preferReplicas(world);
    const auto caller = world.connect("bounded");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(50ms);
    warmUp(world, caller);
    const auto drained = world.lastEndpointOf(world.lastId());
    cr_assert_neq(drained, "d1");
    world.group.setDraining(drained, true);
    preferReplicas(world);
    world.run(20ms);
    cr_assert(world.group.connections(drained).empty());
    for (auto i = 0; i < 10; ++i) {
        cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
        cr_assert_neq(world.lastEndpointOf(world.lastId()), drained);
    }
}

/// Guards against using connections of a previous incarnation for the new one.
Test(pooler_read, aNewIncarnationGetsNewConnections)
{
    PoolerWorld world;
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    const auto before = world.expectations.runs().back().connection;
    // The new incarnation is announced before the reset of the old connections is received.
    world.group.stopEndpoint("d1");
    world.group.startEndpoint("d1");
    world.announceEndpoints();
    cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
    cr_assert_neq(world.expectations.runs().back().connection, before);
}
