#include <criterion/criterion.h>

#include "bench.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::Bench;

namespace {

EndpointState stateOf(const Bench &bench, const std::string &endpoint)
{
    return bench.catalog.findMember(endpoint)->state;
}

} // namespace

// Guards against a planned stop of a primary that does not move it, loses its last writes, or
// leaves it draining for ever.
Test(handover, completesAndTheOldPrimaryIsStopped)
{
    Bench bench;
    bench.form();
    const auto old = bench.view().primary;
    bench.change(PlanStop{old});
    cr_assert_eq(bench.operatorAnswers.back().kind, ErrorKind::None);
    const auto moved = bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 2s);
    cr_assert(moved);
    cr_assert(bench.view().primary != old);
    cr_assert_eq(bench.count<CancelHandover>(), 0);
    const auto stopped =
        bench.runUntil([&] { return stateOf(bench, old) == EndpointState::Stopped; }, 2s);
    cr_assert(stopped);
    cr_assert(bench.reports.back().reason.starts_with("planned stop"));
}

// Guards against a handover to a replica that lacks the primary's last writes.
Test(handover, waitsForASuccessorThatHasCaughtUp)
{
    Bench bench;
    bench.form();
    const auto old = bench.view().primary;
    bench.primary().position.index += 5;
    bench.change(PlanStop{old});
    bench.run(1500ms);
    cr_assert(bench.view().state == GroupState::Handover);
    const std::string successor = old == "orders-3" ? "orders-2" : "orders-3";
    bench.endpoints.at(successor).position = bench.primary().position;
    const auto moved = bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 1s);
    cr_assert(moved);
    cr_assert(bench.view().primary == successor);
}

// Guards against a handover that interrupts a long transaction, or holds new work for ever.
Test(handover, isCalledOffWhenAHostDoesNotQuiesceAndIsTriedAgain)
{
    Bench bench;
    bench.form();
    const auto old = bench.view().primary;
    bench.hosts.at("entry-b").quiesces = false;
    bench.change(PlanStop{old});
    bench.run(1900ms);
    cr_assert(bench.view().state == GroupState::Handover);
    bench.run(200ms);
    cr_assert(bench.active(), "called off after two seconds");
    cr_assert(bench.view().primary == old);
    cr_assert_eq(bench.view().term, 1u);
    bench.run(4s);
    cr_assert_eq(bench.count<BeginHandover>(), 1, "the next attempt is five seconds later");
    bench.hosts.at("entry-b").quiesces = true;
    const auto moved = bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 3s);
    cr_assert(moved);
}

// Guards against a handover that goes on after the operator has taken the stop back.
Test(handover, isCalledOffWhenTheStopIsTakenBack)
{
    Bench bench;
    bench.form();
    const auto old = bench.view().primary;
    bench.hosts.at("entry-b").quiesces = false;
    bench.change(PlanStop{old});
    bench.run(500ms);
    bench.change(CancelStop{old});
    bench.run(100ms);
    cr_assert(bench.active());
    cr_assert(bench.view().primary == old);
    bench.run(10s);
    cr_assert_eq(bench.count<BeginHandover>(), 1);
}

// Guards against work that is held for ever when the leader changes in a handover.
Test(handover, ofAnEarlierLeaderIsCalledOffAndBegunAgain)
{
    Bench bench;
    bench.form();
    bench.hosts.at("entry-b").quiesces = false;
    bench.change(PlanStop{bench.view().primary});
    bench.run(500ms);
    bench.changeLeader();
    bench.hosts.at("entry-b").quiesces = true;
    const auto moved = bench.runUntil([&] { return bench.active() && bench.view().term == 2; }, 9s);
    cr_assert(moved);
    cr_assert_eq(bench.count<CancelHandover>(), 1);
}

// Guards against a replica that is stopped under a host's running request.
Test(drain, aReplicaHeldByOneHostIsNotStopped)
{
    Bench bench;
    bench.form();
    const std::string replica = bench.view().primary == "orders-3" ? "orders-2" : "orders-3";
    bench.hosts.at("entry-c").drains = false;
    bench.change(PlanStop{replica});
    bench.run(5s);
    cr_assert(stateOf(bench, replica) == EndpointState::Draining);
    bench.hosts.at("entry-c").connected = false;
    bench.run(1200ms);
    cr_assert(stateOf(bench, replica) == EndpointState::Draining, "its lease is still valid");
    bench.run(1s);
    cr_assert(stateOf(bench, replica) == EndpointState::Stopped);
}

// Guards against a new leader that counts only the hosts that have already renewed with it.
Test(drain, aNewLeaderWaitsForHostsThatItDoesNotKnowYet)
{
    Bench bench;
    bench.form();
    const std::string replica = bench.view().primary == "orders-3" ? "orders-2" : "orders-3";
    bench.hosts.at("entry-c").drains = false;
    bench.change(PlanStop{replica});
    bench.run(1s);
    bench.hosts.at("entry-c").connected = false;
    bench.changeLeader();
    bench.run(1400ms);
    cr_assert(stateOf(bench, replica) == EndpointState::Draining);
    bench.run(1s);
    cr_assert(stateOf(bench, replica) == EndpointState::Stopped);
}
