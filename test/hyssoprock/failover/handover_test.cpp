#include <criterion/criterion.h>

#include "coordinator_fixture.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::CoordinatorFixture;

namespace {

EndpointState stateOf(const CoordinatorFixture &fixture, const std::string &endpoint)
{
    return fixture.catalog.findMember(endpoint)->state;
}

} // namespace

// Guards against a planned stop that does not move the primary role, loses the last writes of the
// primary, or leaves it draining indefinitely.
Test(handover, completesAndTheOldPrimaryIsStopped)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto old = fixture.view().primary;
    fixture.change(PlanStop{old});
    cr_assert_eq(fixture.operatorResponses.back().kind, ErrorKind::None);
    const auto moved =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 2s);
    cr_assert(moved);
    cr_assert(fixture.view().primary != old);
    cr_assert_eq(fixture.count<CancelHandover>(), 0);
    const auto stopped =
        fixture.runUntil([&] { return stateOf(fixture, old) == EndpointState::Stopped; }, 2s);
    cr_assert(stopped);
    cr_assert(fixture.reports.back().reason.starts_with("planned stop"));
}

// Guards against a handover to a replica that lacks the primary's last writes.
Test(handover, waitsForASuccessorThatHasCaughtUp)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto old = fixture.view().primary;
    fixture.primary().position.index += 5;
    fixture.change(PlanStop{old});
    fixture.run(1500ms);
    cr_assert(fixture.view().state == GroupState::Handover);
    const std::string successor = old == "orders-3" ? "orders-2" : "orders-3";
    fixture.endpoints.at(successor).position = fixture.primary().position;
    const auto moved =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 1s);
    cr_assert(moved);
    cr_assert(fixture.view().primary == successor);
}

// Guards against a handover that interrupts a long transaction or queues new work indefinitely.
Test(handover, isCancelledWhenAHostDoesNotQuiesceAndIsRetried)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto old = fixture.view().primary;
    fixture.hosts.at("entry-b").quiesces = false;
    fixture.change(PlanStop{old});
    fixture.run(1900ms);
    cr_assert(fixture.view().state == GroupState::Handover);
    fixture.run(200ms);
    cr_assert(fixture.active(), "called off after two seconds");
    cr_assert(fixture.view().primary == old);
    cr_assert_eq(fixture.view().term, 1u);
    fixture.run(4s);
    cr_assert_eq(fixture.count<BeginHandover>(), 1, "the next attempt is five seconds later");
    fixture.hosts.at("entry-b").quiesces = true;
    const auto moved =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 3s);
    cr_assert(moved);
}

// Guards against a handover that continues after the operator has cancelled the stop.
Test(handover, isCancelledWithThePlannedStop)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto old = fixture.view().primary;
    fixture.hosts.at("entry-b").quiesces = false;
    fixture.change(PlanStop{old});
    fixture.run(500ms);
    fixture.change(CancelStop{old});
    fixture.run(100ms);
    cr_assert(fixture.active());
    cr_assert(fixture.view().primary == old);
    fixture.run(10s);
    cr_assert_eq(fixture.count<BeginHandover>(), 1);
}

// Guards against work that stays queued indefinitely when the leader changes during a handover.
Test(handover, ofAnEarlierLeaderIsCancelledAndBegunAgain)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.hosts.at("entry-b").quiesces = false;
    fixture.change(PlanStop{fixture.view().primary});
    fixture.run(500ms);
    fixture.changeLeader();
    fixture.hosts.at("entry-b").quiesces = true;
    const auto moved =
        fixture.runUntil([&] { return fixture.active() && fixture.view().term == 2; }, 9s);
    cr_assert(moved);
    cr_assert_eq(fixture.count<CancelHandover>(), 1);
}

// Guards against stopping a replica while a host has a request running there.
Test(drain, aReplicaInUseByOneHostIsNotStopped)
{
    CoordinatorFixture fixture;
    fixture.form();
    const std::string replica = fixture.view().primary == "orders-3" ? "orders-2" : "orders-3";
    fixture.hosts.at("entry-c").drains = false;
    fixture.change(PlanStop{replica});
    fixture.run(5s);
    cr_assert(stateOf(fixture, replica) == EndpointState::Draining);
    fixture.hosts.at("entry-c").connected = false;
    fixture.run(1200ms);
    cr_assert(stateOf(fixture, replica) == EndpointState::Draining, "its lease is still valid");
    fixture.run(1s);
    cr_assert(stateOf(fixture, replica) == EndpointState::Stopped);
}

// Guards against a new leader that considers only the hosts that have already renewed with it.
Test(drain, aNewLeaderWaitsForHostsThatItDoesNotKnowYet)
{
    CoordinatorFixture fixture;
    fixture.form();
    const std::string replica = fixture.view().primary == "orders-3" ? "orders-2" : "orders-3";
    fixture.hosts.at("entry-c").drains = false;
    fixture.change(PlanStop{replica});
    fixture.run(1s);
    fixture.hosts.at("entry-c").connected = false;
    fixture.changeLeader();
    fixture.run(1400ms);
    cr_assert(stateOf(fixture, replica) == EndpointState::Draining);
    fixture.run(1s);
    cr_assert(stateOf(fixture, replica) == EndpointState::Stopped);
}
