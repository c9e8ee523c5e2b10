#include <algorithm>

#include <criterion/criterion.h>

#include "bench.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::Bench;

namespace {

/// The voters that are not the primary, by name.
std::vector<std::string> otherVoters(const Bench &bench)
{
    std::vector<std::string> names;
    for (const auto &member : bench.view().members) {
        if (member.voter && member.announcement.endpoint != bench.view().primary) {
            names.push_back(member.announcement.endpoint);
        }
    }
    return names;
}

bool replaced(Bench &bench, std::uint64_t term, Duration limit)
{
    return bench.runUntil([&] { return bench.active() && bench.view().term == term; }, limit);
}

} // namespace

// Guards against a first primary that is chosen before all instances were asked for their data.
Test(election, theFirstPrimaryIsTheMostAdvancedOfAllInstances)
{
    Bench bench;
    bench.endpoints.at("orders-3").position = {0, 40};
    bench.endpoints.at("orders-3").reachable = false;
    bench.feed(LeadershipGained{1});
    bench.run(5s);
    cr_assert(bench.view().state == GroupState::Electing, "one instance has not answered");
    bench.endpoints.at("orders-3").reachable = true;
    bench.run(1s);
    cr_assert(bench.active());
    cr_assert(bench.view().primary == "orders-3");
    cr_assert_eq(bench.voters(), 3u);
}

// Guards against a second primary while a host that was cut off may still use the first one.
Test(election, promotionWaitsForTheLeaseOfASilentHost)
{
    Bench bench;
    bench.form();
    bench.hosts.at("entry-a").connected = false;
    bench.run(10ms);
    const auto leaseEnd = bench.hosts.at("entry-a").leaseEnd;
    bench.kill(bench.view().primary);
    const auto done = replaced(bench, 2, 5s);
    cr_assert(done);
    cr_assert(bench.now > leaseEnd, "the host may use the old primary until its lease ends");
    bench.run(500ms);
    cr_assert(bench.reports.back().leaseWait > 0ms);
}

// Guards against counting a lease renewal as a confirmation: the host has not applied the view.
Test(election, promotionWaitsForAHostThatRenewsButDoesNotConfirm)
{
    Bench bench;
    bench.form();
    bench.hosts.at("entry-b").confirms = false;
    bench.kill(bench.view().primary);
    const auto begun =
        bench.runUntil([&] { return bench.view().state == GroupState::Electing; }, 2s);
    cr_assert(begun);
    bench.run(1s);
    cr_assert(bench.view().primary.empty(), "the lease from before the view is still valid");
    const auto done = replaced(bench, 2, 1s);
    cr_assert(done, "a lease that was granted along with the new view is not waited for");
}

// Guards against a primary that lacks acknowledged writes because a minority was fenced.
Test(election, aFencedMinorityElectsNobody)
{
    Bench bench;
    bench.form();
    const auto others = otherVoters(bench);
    bench.kill(bench.view().primary);
    bench.endpoints.at(others[0]).reachable = false;
    bench.run(10s);
    cr_assert(bench.view().state == GroupState::Electing);
    cr_assert(bench.view().primary.empty());
    bench.endpoints.at(others[0]).reachable = true;
    const auto done = replaced(bench, 2, 1s);
    cr_assert(done);
}

// Guards against choosing by anything but the position, and against waiting for the most advanced
// replica when a majority without it has answered: that majority holds every acknowledged write.
Test(election, theMostAdvancedOfTheFencedMajorityWins)
{
    Bench bench;
    bench.form();
    const auto others = otherVoters(bench);
    bench.endpoints.at(others[0]).position = {1, 7};
    bench.endpoints.at(others[1]).position = {1, 9};
    bench.primary().position = {1, 12}; // its tail is unreplicated
    bench.kill(bench.view().primary);
    const auto done = replaced(bench, 2, 3s);
    cr_assert(done);
    cr_assert(bench.view().primary == others[1]);
}

// Guards against a term with two primaries: a promotion whose answer was lost may have worked, so
// only a new term is safe.
Test(election, aPromotionThatFailsHalfWayIsFollowedByTheNextTerm)
{
    Bench bench;
    bench.form();
    const auto others = otherVoters(bench);
    bench.endpoints.at(others[0]).position = {1, 9};
    bench.endpoints.at(others[0]).losesPromotionAnswer = true;
    bench.kill(bench.view().primary);
    const auto lost = bench.runUntil([&] { return bench.view().term >= 3; }, 3s);
    cr_assert(lost);
    bench.endpoints.at(others[0]).losesPromotionAnswer = false;
    const auto done = bench.runUntil([&] { return bench.active(); }, 3s);
    cr_assert(done);
    cr_assert(bench.view().term >= 3);
    cr_assert(bench.view().primary == others[0], "the half-promoted endpoint has the longest log");
    cr_assert_eq(bench.count<ActivatePrimary>(), 2, "terms 1 and the last one only");
    bench.run(500ms);
    cr_assert_eq(bench.reports.back().terms, bench.view().term - 1);
}

// Guards against a new leader that goes on with the choice of its predecessor, whose promotion may
// or may not have happened.
Test(election, aNewLeaderBeginsANewTermAfterAHalfDoneElection)
{
    Bench bench;
    bench.form();
    bench.catalog.apply(CatalogCommand{BeginTerm{"orders", 2}}, bench.catalog.appliedIndex() + 1);
    bench.catalog.apply(CatalogCommand{SetPrimary{"orders", 2, otherVoters(bench)[0]}},
                        bench.catalog.appliedIndex() + 1);
    bench.changeLeader();
    bench.run(1400ms);
    cr_assert_eq(bench.view().term, 2u);
    const auto done = replaced(bench, 3, 2s);
    cr_assert(done);
}

// Guards against an old primary that keeps its role, or its divergent tail, when it comes back.
Test(election, anOldPrimaryThatComesBackFollowsTheNewOne)
{
    Bench bench;
    bench.form();
    const auto old = bench.view().primary;
    bench.kill(old);
    const auto done = replaced(bench, 2, 3s);
    cr_assert(done);
    cr_assert(bench.endpoints.at(old).role == "primary", "nobody could tell it");
    bench.revive(old, false);
    bench.run(1500ms);
    cr_assert(bench.endpoints.at(old).role == "replica");
    cr_assert_eq(bench.endpoints.at(old).term, 2u);
    cr_assert(bench.endpoints.at(old).primary == bench.view().primary);
    cr_assert_eq(bench.view().term, 2u);
}

// Guards against a primary that most hosts cannot use while an equal one is within their reach.
Test(election, amongEquallyAdvancedVotersTheOneThatMostObserversReachIsChosen)
{
    Bench bench;
    bench.form();
    cr_assert_eq(bench.view().primary, "orders-1");
    bench.hosts.at("entry-a").cutOffFrom.insert("orders-2");
    bench.hosts.at("entry-c").cutOffFrom.insert("orders-2");
    bench.run(1s);
    bench.kill("orders-1");
    const auto done = replaced(bench, 2, 3s);
    cr_assert(done);
    cr_assert_eq(bench.view().primary, "orders-3");
}

// Guards against a choice by reach that loses entries: the more advanced voter comes first.
Test(election, aMoreAdvancedVoterIsChosenThoughFewerObserversReachIt)
{
    Bench bench;
    bench.form();
    cr_assert_eq(bench.view().primary, "orders-1");
    bench.hosts.at("entry-a").cutOffFrom.insert("orders-3");
    bench.hosts.at("entry-c").cutOffFrom.insert("orders-3");
    bench.run(1s);
    ++bench.endpoints.at("orders-3").position.index;
    bench.kill("orders-1");
    const auto done = replaced(bench, 2, 3s);
    cr_assert(done);
    cr_assert_eq(bench.view().primary, "orders-3");
}
