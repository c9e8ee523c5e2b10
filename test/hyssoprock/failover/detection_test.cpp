#include <criterion/criterion.h>

#include "bench.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::Bench;

// Guards against a healthy primary that is deposed because one host, itself partitioned, does not
// reach it.
Test(detection, aPrimaryCutOffFromOneObserverStays)
{
    Bench bench;
    bench.form();
    const auto primary = bench.view().primary;
    bench.hosts.at("entry-b").cutOffFrom.insert(primary);
    bench.run(5s);
    cr_assert_eq(bench.view().term, 1u);
    cr_assert(bench.active());
}

// Guards against two hosts of one data centre that are taken for independent witnesses.
Test(detection, aPrimaryCutOffFromOneDataCentreStays)
{
    Bench bench;
    bench.hosts.insert({"entry-b2", {.dataCentre = "dc-b"}});
    bench.form();
    const auto primary = bench.view().primary;
    bench.hosts.at("entry-b").cutOffFrom.insert(primary);
    bench.hosts.at("entry-b2").cutOffFrom.insert(primary);
    for (const auto *name : {"entry-a", "entry-c"}) {
        bench.hosts.at(name).lastAnswer[primary] = bench.now;
    }
    bench.run(5s);
    cr_assert_eq(bench.view().term, 1u);
}

// Guards against a failover while some host with a lease still reaches the primary.
Test(detection, aHostThatReachesThePrimaryPreventsTheFailover)
{
    Bench bench;
    bench.form();
    const auto primary = bench.view().primary;
    bench.kill(primary);
    bench.hosts.at("entry-c").cutOffFrom.clear();
    bench.run(5s);
    cr_assert_eq(bench.view().term, 1u);
}

// Guards against a dead primary that is never replaced, and checks the shares that are reported.
Test(detection, aPrimaryLostForTwoDataCentresIsReplaced)
{
    Bench bench;
    bench.form();
    const auto primary = bench.view().primary;
    const auto lost = bench.now;
    bench.kill(primary);
    const auto replaced =
        bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 3s);
    cr_assert(replaced);
    cr_assert(bench.view().primary != primary);
    bench.run(1s);
    const auto &report = bench.reports.back();
    cr_assert_eq(report.term, 2u);
    cr_assert(report.detection >= 700ms && report.detection <= 1200ms);
    cr_assert(report.leaseWait <= 500ms, "all hosts confirm the view with their next renewal");
    cr_assert(report.total() <= bench.now - lost);
}

// Guards against a deposed primary whose link to all observers only flaps.
Test(detection, flappingLinksDoNotDeposeAPrimary)
{
    Bench bench;
    bench.form();
    const auto primary = bench.view().primary;
    for (int round = 0; round < 20; ++round) {
        for (auto &[name, host] : bench.hosts) {
            host.cutOffFrom.insert(primary);
        }
        bench.endpoints.at(primary).reachable = false;
        bench.run(500ms);
        bench.revive(primary, false);
        bench.run(100ms);
    }
    cr_assert_eq(bench.view().term, 1u);
}

// Guards against a group without a primary because the old one restarted too fast to be silent.
Test(detection, aPrimaryThatRestartsWithoutItsRoleIsReplaced)
{
    Bench bench;
    bench.form();
    bench.revive(bench.view().primary, true);
    const auto replaced =
        bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 2s);
    cr_assert(replaced);
    cr_assert_eq(bench.primary().role == "primary", true);
}

// Guards against a new leader that acts while leases of its predecessor may be valid: it knows
// neither the leases nor all the evidence.
Test(detection, aNewLeaderWaitsOneHostLease)
{
    Bench bench;
    bench.form();
    const auto primary = bench.view().primary;
    bench.kill(primary);
    bench.changeLeader();
    bench.run(1500ms);
    cr_assert_eq(bench.view().term, 1u, "1515 ms is one lease with the drift bound");
    const auto replaced =
        bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 2s);
    cr_assert(replaced);
}

// Guards against a leader that grants leases or starts anything while another may have taken over.
Test(detection, withoutItsLeaderLeaseTheLeaderGrantsNothing)
{
    Bench bench;
    bench.form();
    bench.leaderLeaseValid = false;
    bench.kill(bench.view().primary);
    bench.run(5s);
    cr_assert_eq(bench.view().term, 1u);
    for (const auto &[name, host] : bench.hosts) {
        cr_assert_eq(host.answer.kind, ErrorKind::NotLeader);
        cr_assert(host.leaseEnd < bench.now);
    }
}
