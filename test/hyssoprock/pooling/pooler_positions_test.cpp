#include <algorithm>

#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

constexpr int readCount = 50;
// 194 hosts before 20 services with 1,690 requests per second leave a host one request for a
// service in 2.3 s.
constexpr Duration timeBetweenReads = 2300ms;
constexpr Duration sampleInterval = 250ms;

void report(PoolerWorld &world, const std::string &endpoint, Duration age)
{
    world.handle(pooler::PositionsReceived{
        {{"s", endpoint, world.group.status(endpoint).received, world.now - age}}});
}

/// Reads rarely, as a host does that has only a small part of the requests for a service.
/// @return Reads that a replica ran.
int readRarely(PoolerWorld &world, bool withPositions)
{
    const auto caller = world.connect("bounded");
    auto onReplicas = 0;
    for (auto i = 0; i < readCount; ++i) {
        for (auto waited = Duration::zero(); waited < timeBetweenReads; waited += sampleInterval) {
            world.run(sampleInterval);
            if (withPositions) {
                report(world, "d1", 0ms);
            }
        }
        cr_assert(world.sendAndWait(caller, "READ a").kind == AnswerKind::Success);
        onReplicas += world.lastEndpointOf(world.lastId()) == "d1" ? 0 : 1;
    }
    return onReplicas;
}

/// Makes replicas nearer than the primary.
void placePrimaryElsewhere(PoolerWorld &world)
{
    auto records = world.group.records();
    for (auto &record : records) {
        record.dataCentre = record.role == EndpointRole::Primary ? "b" : "a";
    }
    world.handle(pooler::EndpointsChanged{std::move(records)});
}

} // namespace

/// Guards against the load pattern of many entry hosts before many services: each host reads a
/// service so rarely that its own samples are always too old, so that nearly all reads run on
/// primaries and exhaust their connections.
Test(poolerPositions, rareReadsRunOnReplicasWithPositionsFromControlHosts)
{
    PoolerWorld alone{1, {}, test::makeThreeRouteDocument(1500ms)};
    placePrimaryElsewhere(alone);
    cr_assert_eq(readRarely(alone, false), 0);
    PoolerWorld world{1, {}, test::makeThreeRouteDocument(1500ms)};
    placePrimaryElsewhere(world);
    cr_assert_geq(readRarely(world, true), readCount * 9 / 10);
}

/// Guards against requests for positions that the host has from its own statements, and against
/// none for those that it lacks.
Test(poolerPositions, onlyServicesWithoutARecentAnswerAreRequested)
{
    PoolerWorld world;
    cr_assert_eq(world.pooler.servicesWithoutSample(world.now).size(), 1U);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    cr_assert(world.pooler.servicesWithoutSample(world.now).empty());
    cr_assert_eq(world.pooler.servicesWithoutSample(world.now + 300ms).size(), 1U);
}

/// Guards against a stale read: the position of a report must cover the commits before it.
Test(poolerPositions, aReadDemandsThePositionOfTheReport)
{
    PoolerWorld world;
    placePrimaryElsewhere(world);
    world.group.setReplicationPaused("d2", true);
    world.group.setReplicationPaused("d3", true);
    const auto writer = world.connect("primary");
    world.sendAndWait(writer, "WRITE a 1");
    world.run(2s);
    report(world, "d1", 0ms);
    const auto reader = world.connect("bounded");
    world.run(600ms);
    report(world, "d1", 100ms);
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Success);
    cr_assert_eq(world.lastEndpointOf(world.lastId()), "d1");
}

/// Guards against a read that waits for a connection to a full primary although a report allows it
/// to run on a replica.
Test(poolerPositions, aWaitingReadIsPlacedWhenAReportArrives)
{
    PoolerWorld world;
    world.group.refuse("d1", true);
    const auto caller = world.connect("bounded");
    const auto read = world.send(caller, "READ a");
    world.run(50ms);
    cr_assert_null(world.answer(read));
    report(world, "d1", 0ms);
    world.run(100ms);
    cr_assert_not_null(world.answer(read));
    cr_assert(world.answer(read)->kind == AnswerKind::Success);
    cr_assert_neq(world.lastEndpointOf(read), "d1");
}

/// Guards against stale reads where promotions are not fenced: a former primary that still reports
/// positions lacks the commits of its successor.
Test(poolerPositions, withoutFencedPromotionsOnlyTheAnnouncedPrimaryIsBelievedUnderALease)
{
    PoolerWorld world{1, {}, test::makeThreeRouteDocument(), true};
    const auto wanted = [&]() { return !world.pooler.servicesWithoutSample(world.now).empty(); };
    report(world, "d1", 0ms);
    cr_assert(wanted(), "no lease is held");
    world.handle(pooler::LeaseExtended{world.now + 4s});
    report(world, "d1", 10ms);
    cr_assert(wanted(), "the sample is older than the lease");
    world.run(50ms);
    report(world, "d2", 0ms);
    cr_assert(wanted(), "another endpoint is announced");
    report(world, "d1", 0ms);
    cr_assert(!wanted());
    world.run(1s);
    world.promote("d2");
    report(world, "d2", 10ms);
    cr_assert(wanted(), "the sample is older than the announcement");
    world.run(50ms);
    report(world, "d1", 0ms);
    cr_assert(wanted(), "the former primary is not believed");
    report(world, "d2", 0ms);
    cr_assert(!wanted());
}
