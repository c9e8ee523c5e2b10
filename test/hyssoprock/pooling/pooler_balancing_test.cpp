#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

/// A caller of a route whose reads may run on all endpoints; one endpoint is near.
struct BalancingWorld : PoolerWorld
{
    explicit BalancingWorld(bool even, const std::string &near)
        : PoolerWorld{1, {}, test::makeThreeRouteDocument(), false, Admission::Priority, even}
        , caller{connect("own")}
    {
        auto records = group.records();
        for (auto &record : records) {
            record.dataCentre = record.id == near ? "a" : "b";
        }
        handle(pooler::EndpointsChanged{std::move(records)});
        sendAndWait(caller, "WRITE a 1");
        run(50ms);
    }

    /// Runs reads; each read that reaches the failing endpoints fails there.
    /// @return Number of reads that did not succeed.
    int read(int times, const std::vector<std::string> &failing = {})
    {
        auto failed = 0;
        for (auto i = 0; i < times; ++i) {
            for (const auto &id : failing) {
                group.failNextStatement(id);
            }
            failed += sendAndWait(caller, "READ a").kind == AnswerKind::Success ? 0 : 1;
            run(20ms);
        }
        return failed;
    }

    [[nodiscard]] std::size_t commands(EndpointCommandKind kind) const
    {
        return group.count("d1", kind) + group.count("d2", kind) + group.count("d3", kind);
    }

    [[nodiscard]] std::uint64_t changes(OutlierChange change) const
    {
        return pooler.counters()->outlierChanges[static_cast<std::size_t>(change)];
    }

    CallerId caller;
};

using Names = std::vector<std::string>;

} // namespace

/// Guards against questions to endpoints for the sake of balancing.
Test(pooler_balancing, evenBalancingSendsNoAdditionalCommands)
{
    BalancingWorld latency{false, "d2"};
    BalancingWorld even{true, "d2"};
    for (auto *world : {&latency, &even}) {
        world->read(50);
    }
    for (const auto kind : {EndpointCommandKind::Forward, EndpointCommandKind::Begin,
                            EndpointCommandKind::BeginReadOnly, EndpointCommandKind::Rollback}) {
        cr_expect_eq(even.commands(kind), latency.commands(kind));
    }
    cr_expect_eq(even.commands(EndpointCommandKind::Forward), 51U);
    cr_expect_eq(even.pooler.counters()->connectionsOpened,
                 latency.pooler.counters()->connectionsOpened);
}

/// Guards against reads that fail, or are repeated each time, at an endpoint that is reported
/// healthy.
Test(pooler_balancing, anEndpointThatFailsItsReadsIsAvoidedAndReturns)
{
    BalancingWorld world{true, "d2"};
    world.read(10);
    const auto before = world.group.count("d2", EndpointCommandKind::Forward);
    cr_assert_geq(before, 9U);
    cr_expect_eq(world.read(100, {"d2"}), 0);
    cr_expect(world.pooler.usage().avoided == Names{"d2"});
    cr_expect_eq(world.changes(OutlierChange::Avoided), 1U);
    cr_expect_leq(world.group.count("d2", EndpointCommandKind::Forward) - before, 8U);
    // One failure is still due at the endpoint.
    for (auto i = 0; i < 2; ++i) {
        world.run(16s);
        world.read(20);
    }
    cr_expect(world.pooler.usage().avoided.empty());
    cr_expect_eq(world.changes(OutlierChange::Returned), 1U);
    world.read(1);
    cr_expect_eq(world.lastEndpointOf(world.lastId()), "d2");
}

/// Guards against callers that wait for the repetition of each read at an endpoint that hangs.
Test(pooler_balancing, anEndpointThatHangsIsAvoided)
{
    BalancingWorld world{true, "d2"};
    world.read(10);
    const auto before = world.now;
    world.group.delayTrafficUntil("d2", before + 60s);
    cr_expect_eq(world.read(100), 0);
    cr_expect(world.pooler.usage().avoided == Names{"d2"});
    // 27 ms for a read elsewhere with the pause after it.
    cr_expect_leq((world.now - before) / 1ms, 100 * 27 + 800);
}

/// Guards against an endpoint that resets its connections, of which the control hosts see nothing.
Test(pooler_balancing, anEndpointThatResetsConnectionsIsAvoided)
{
    BalancingWorld world{true, "d2"};
    world.read(10);
    for (auto i = 0; i < 40 && world.pooler.usage().avoided.empty(); ++i) {
        // Opens a connection, which the next read uses.
        world.read(1);
        const auto id = world.send(world.caller, "READ a");
        world.run(3ms);
        for (const auto connection : world.group.connections("d2")) {
            world.group.dropConnection(connection);
        }
        world.run(100ms);
        cr_expect(world.answer(id)->kind == AnswerKind::Success);
    }
    cr_expect(world.pooler.usage().avoided == Names{"d2"});
}

/// Guards against a write that moves, or runs twice, because reads avoid the primary.
Test(pooler_balancing, writesStayAtAnAvoidedPrimary)
{
    BalancingWorld world{true, "d1"};
    cr_expect_eq(world.read(20, {"d1"}), 0);
    cr_assert(world.pooler.usage().avoided == Names{"d1"});
    world.sendAndWait(world.caller, "WRITE a 2");
    cr_expect_eq(world.lastEndpointOf(world.lastId()), "d1");
    world.group.failNextStatement("d1");
    cr_expect(world.sendAndWait(world.caller, "WRITE a 3").kind == AnswerKind::Failed);
    cr_expect_eq(world.expectations.timesRun(world.lastId()), 1U);
}

/// Guards against an endpoint that is avoided because of this host's own link.
Test(pooler_balancing, noEndpointIsAvoidedIfAllFail)
{
    BalancingWorld world{true, "d2"};
    world.read(10);
    cr_expect_geq(world.read(30, {"d1", "d2", "d3"}), 25);
    cr_expect_geq(world.changes(OutlierChange::AllFailing), 1U);
    // One failure is still due at each endpoint.
    world.read(3);
    world.run(16s);
    cr_expect_eq(world.read(10), 0);
}

/// Guards against a change of the default.
Test(pooler_balancing, balancingByLatencyAvoidsNothing)
{
    BalancingWorld world{false, "d2"};
    world.read(30, {"d2"});
    cr_expect(world.pooler.usage().avoided.empty());
    cr_expect_eq(world.changes(OutlierChange::Avoided), 0U);
}
