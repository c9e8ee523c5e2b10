#include <criterion/criterion.h>

#include "coordinator_fixture.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::CoordinatorFixture;

// Guards against replacing a healthy primary because a single partitioned host does not reach it.
Test(detection, aPrimaryCutOffFromOneObserverStays)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto primary = fixture.view().primary;
    fixture.hosts.at("entry-b").cutOffFrom.insert(primary);
    fixture.run(5s);
    cr_assert_eq(fixture.view().term, 1u);
    cr_assert(fixture.active());
}

// Guards against counting two hosts of one data centre as independent probers.
Test(detection, aPrimaryCutOffFromOneDataCentreStays)
{
    CoordinatorFixture fixture;
    fixture.hosts.insert({"entry-b2", {.dataCentre = "dc-b"}});
    fixture.form();
    const auto primary = fixture.view().primary;
    fixture.hosts.at("entry-b").cutOffFrom.insert(primary);
    fixture.hosts.at("entry-b2").cutOffFrom.insert(primary);
    for (const auto *name : {"entry-a", "entry-c"}) {
        fixture.hosts.at(name).lastResponseAt[primary] = fixture.now;
    }
    fixture.run(5s);
    cr_assert_eq(fixture.view().term, 1u);
}

// Guards against a failover while some host with a lease still reaches the primary.
Test(detection, aHostThatReachesThePrimaryPreventsTheFailover)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto primary = fixture.view().primary;
    fixture.kill(primary);
    fixture.hosts.at("entry-c").cutOffFrom.clear();
    fixture.run(5s);
    cr_assert_eq(fixture.view().term, 1u);
}

// Guards against a failed primary that is never replaced, and checks the reported phase durations.
Test(detection, aPrimaryLostForTwoDataCentresIsReplaced)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto primary = fixture.view().primary;
    const auto lost = fixture.now;
    fixture.kill(primary);
    const auto replaced =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 3s);
    cr_assert(replaced);
    cr_assert(fixture.view().primary != primary);
    fixture.run(1s);
    const auto &report = fixture.reports.back();
    cr_assert_eq(report.term, 2u);
    cr_assert(report.detection >= 700ms && report.detection <= 1200ms);
    cr_assert(report.leaseWait <= 500ms, "all hosts confirm the view with their next renewal");
    cr_assert(report.total() <= fixture.now - lost);
}

// Guards against replacing a primary whose connections to the observers fail only briefly.
Test(detection, flappingLinksDoNotReplaceAPrimary)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto primary = fixture.view().primary;
    for (int round = 0; round < 20; ++round) {
        for (auto &[name, host] : fixture.hosts) {
            host.cutOffFrom.insert(primary);
        }
        fixture.endpoints.at(primary).reachable = false;
        fixture.run(500ms);
        fixture.revive(primary, false);
        fixture.run(100ms);
    }
    cr_assert_eq(fixture.view().term, 1u);
}

// Guards against a group without a primary after a restart of the primary that is shorter than the
// silence needed to detect a failure.
Test(detection, aPrimaryThatRestartsWithoutItsRoleIsReplaced)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.revive(fixture.view().primary, true);
    const auto replaced =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 2s);
    cr_assert(replaced);
    cr_assert_eq(fixture.primary().role == "primary", true);
}

// Guards against a new leader that acts while leases of an earlier leader may be valid: it knows
// neither these leases nor all evidence.
Test(detection, aNewLeaderWaitsOneHostLease)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto primary = fixture.view().primary;
    fixture.kill(primary);
    fixture.changeLeader();
    fixture.run(1500ms);
    cr_assert_eq(fixture.view().term, 1u, "1515 ms is one lease with the drift bound");
    const auto replaced =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 2s);
    cr_assert(replaced);
}

// Guards against a leader that grants leases or starts a change without a valid leader lease, when
// another host may already lead.
Test(detection, withoutItsLeaderLeaseTheLeaderGrantsNothing)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.leaderLeaseValid = false;
    fixture.kill(fixture.view().primary);
    fixture.run(5s);
    cr_assert_eq(fixture.view().term, 1u);
    for (const auto &[name, host] : fixture.hosts) {
        cr_assert_eq(host.response.kind, ErrorKind::NotLeader);
        cr_assert(host.leaseEnd < fixture.now);
    }
}
