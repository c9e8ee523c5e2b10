#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

std::uint64_t statements(const PoolerWorld &world, RoutingRule rule, AnsweringRole target,
                         AnswerKind outcome)
{
    const auto *counters = world.pooler.counters();
    cr_assert(counters != nullptr);
    return counters->statements[static_cast<std::size_t>(rule)][static_cast<std::size_t>(target)]
                               [static_cast<std::size_t>(outcome)];
}

std::uint64_t allStatements(const PoolerWorld &world)
{
    std::uint64_t total = 0;
    for (const auto &targets : world.pooler.counters()->statements) {
        for (const auto &outcomes : targets) {
            for (const auto count : outcomes) {
                total += count;
            }
        }
    }
    return total;
}

} // namespace

// Guards against a statement that is counted twice, not at all, or under a wrong rule or role.
Test(pooler_counters, eachAnsweredStatementIsCountedOnce)
{
    PoolerWorld world;
    const auto primary = world.connect("primary");
    world.sendAndWait(primary, "READ a");
    world.sendAndWait(primary, "WRITE a 1");
    world.sendAndWait(primary, "SET x 1");
    const auto bounded = world.connect("bounded");
    for (int i = 0; i < 3; ++i) {
        world.sendAndWait(bounded, "READ a");
        world.run(20ms);
    }
    world.sendAndWait(bounded, "BEGIN");
    world.sendAndWait(bounded, "READ a");
    world.sendAndWait(bounded, "COMMIT");
    world.sendAndWait(bounded, "nonsense");
    cr_assert_eq(
        statements(world, RoutingRule::Primary, AnsweringRole::Primary, AnswerKind::Success), 1U);
    // The write, and the statements of the transaction that may write.
    cr_assert_eq(statements(world, RoutingRule::Write, AnsweringRole::Primary, AnswerKind::Success),
                 3U);
    cr_assert_eq(statements(world, RoutingRule::BoundedStaleness, AnsweringRole::Primary,
                            AnswerKind::Success)
                     + statements(world, RoutingRule::BoundedStaleness, AnsweringRole::Replica,
                                  AnswerKind::Success),
                 3U);
    cr_assert_eq(statements(world, RoutingRule::Local, AnsweringRole::None, AnswerKind::Success),
                 2U);
    cr_assert_eq(statements(world, RoutingRule::Local, AnsweringRole::None, AnswerKind::Malformed),
                 1U);
    cr_assert_eq(allStatements(world), 10U);
    std::uint64_t durations = 0;
    for (const auto &latency : world.pooler.counters()->latency) {
        for (const auto count : latency.counts) {
            durations += count;
        }
    }
    cr_assert_eq(durations, 7U, "one for each statement that an endpoint ran");
}

// Guards against reads on replicas that are counted as reads on the primary.
Test(pooler_counters, aReadOnAReplicaIsCountedAsSuch)
{
    PoolerWorld world;
    auto records = world.group.records();
    for (auto &record : records) {
        record.dataCentre = record.role == EndpointRole::Primary ? "b" : "a";
    }
    world.handle(pooler::EndpointsChanged{std::move(records)});
    const auto caller = world.connect("bounded");
    for (int i = 0; i < 5; ++i) {
        world.sendAndWait(caller, "READ a");
        world.run(20ms);
    }
    const auto before = statements(world, RoutingRule::BoundedStaleness, AnsweringRole::Replica,
                                   AnswerKind::Success);
    world.sendAndWait(caller, "READ a");
    cr_assert_neq(world.lastEndpointOf(world.lastId()), "d1");
    cr_assert_eq(statements(world, RoutingRule::BoundedStaleness, AnsweringRole::Replica,
                            AnswerKind::Success),
                 before + 1);
}

// Guards against refusals and evidence reports that are not counted.
Test(pooler_counters, refusalsAndEvidenceAreCounted)
{
    PoolerWorld world;
    world.connect("nowhere");
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    world.group.promote("d2");
    world.send(caller, "READ a");
    world.run(100ms);
    const auto &counters = *world.pooler.counters();
    cr_assert_eq(counters.callerRefusals[static_cast<std::size_t>(AnswerKind::NoDatabase)], 1U);
    cr_assert_geq(counters.endpointRefusals[static_cast<std::size_t>(AnswerKind::ReadOnly)], 1U);
    cr_assert_eq(counters.evidenceReports[static_cast<std::size_t>(Reachability::NotPrimary)],
                 world.reports.size());
    cr_assert_geq(counters.connectionsOpened, 1U);
}

// Guards against the cost of counters that are not enabled.
Test(pooler_counters, noneAreKeptUnlessAskedFor)
{
    const Pooler pooler{{"e1", Topology{"a"}}, 1, Instant{}};
    cr_assert(pooler.counters() == nullptr);
}
