#include <algorithm>

#include <criterion/criterion.h>

#include "coordinator_fixture.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::CoordinatorFixture;

namespace {

/// Voters other than the primary, sorted by name.
std::vector<std::string> otherVoters(const CoordinatorFixture &fixture)
{
    std::vector<std::string> names;
    for (const auto &member : fixture.view().members) {
        if (member.voter && member.announcement.endpoint != fixture.view().primary) {
            names.push_back(member.announcement.endpoint);
        }
    }
    return names;
}

bool replaced(CoordinatorFixture &fixture, std::uint64_t term, Duration limit)
{
    return fixture.runUntil([&] { return fixture.active() && fixture.view().term == term; }, limit);
}

} // namespace

// Guards against choosing the first primary before all instances have reported their position.
Test(election, theFirstPrimaryIsTheMostAdvancedOfAllInstances)
{
    CoordinatorFixture fixture;
    fixture.endpoints.at("orders-3").position = {0, 40};
    fixture.endpoints.at("orders-3").reachable = false;
    fixture.feed(LeadershipGained{1});
    fixture.run(5s);
    cr_assert(fixture.view().state == GroupState::Electing, "one instance has not responded");
    fixture.endpoints.at("orders-3").reachable = true;
    fixture.run(1s);
    cr_assert(fixture.active());
    cr_assert(fixture.view().primary == "orders-3");
    cr_assert_eq(fixture.voters(), 3u);
}

// Guards against a second primary while a partitioned host may still use the first one.
Test(election, promotionWaitsForTheLeaseOfASilentHost)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.hosts.at("entry-a").connected = false;
    fixture.run(10ms);
    const auto leaseEnd = fixture.hosts.at("entry-a").leaseEnd;
    fixture.kill(fixture.view().primary);
    const auto done = replaced(fixture, 2, 5s);
    cr_assert(done);
    cr_assert(fixture.now > leaseEnd, "the host may use the old primary until its lease ends");
    fixture.run(500ms);
    cr_assert(fixture.reports.back().leaseWait > 0ms);
}

// Guards against treating a lease renewal as confirmation of a view that the host has not applied.
Test(election, promotionWaitsForAHostThatRenewsButDoesNotConfirm)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.hosts.at("entry-b").confirms = false;
    fixture.kill(fixture.view().primary);
    const auto begun =
        fixture.runUntil([&] { return fixture.view().state == GroupState::Electing; }, 2s);
    cr_assert(begun);
    fixture.run(1s);
    cr_assert(fixture.view().primary.empty(), "the lease from before the view is still valid");
    const auto done = replaced(fixture, 2, 1s);
    cr_assert(done, "a lease that was granted with the new view does not delay the election");
}

// Guards against a primary that lacks acknowledged writes because a minority was fenced.
Test(election, aFencedMinorityElectsNoPrimary)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto others = otherVoters(fixture);
    fixture.kill(fixture.view().primary);
    fixture.endpoints.at(others[0]).reachable = false;
    fixture.run(10s);
    cr_assert(fixture.view().state == GroupState::Electing);
    cr_assert(fixture.view().primary.empty());
    fixture.endpoints.at(others[0]).reachable = true;
    const auto done = replaced(fixture, 2, 1s);
    cr_assert(done);
}

// Guards against choosing by anything but the log position, and against waiting for the most
// advanced replica: a majority without it holds every acknowledged write, too.
Test(election, theMostAdvancedOfTheFencedMajorityWins)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto others = otherVoters(fixture);
    fixture.endpoints.at(others[0]).position = {1, 7};
    fixture.endpoints.at(others[1]).position = {1, 9};
    fixture.primary().position = {1, 12}; // its tail is unreplicated
    fixture.kill(fixture.view().primary);
    const auto done = replaced(fixture, 2, 3s);
    cr_assert(done);
    cr_assert(fixture.view().primary == others[1]);
}

// Guards against two primaries in one term: a promotion whose response was lost may have succeeded,
// so only a new term is safe.
Test(election, aPromotionWithALostResponseIsFollowedByTheNextTerm)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto others = otherVoters(fixture);
    fixture.endpoints.at(others[0]).position = {1, 9};
    fixture.endpoints.at(others[0]).losesPromotionResponse = true;
    fixture.kill(fixture.view().primary);
    const auto lost = fixture.runUntil([&] { return fixture.view().term >= 3; }, 3s);
    cr_assert(lost);
    fixture.endpoints.at(others[0]).losesPromotionResponse = false;
    const auto done = fixture.runUntil([&] { return fixture.active(); }, 3s);
    cr_assert(done);
    cr_assert(fixture.view().term >= 3);
    cr_assert(fixture.view().primary == others[0],
              "the half-promoted endpoint has the longest log");
    cr_assert_eq(fixture.count<ActivatePrimary>(), 2, "terms 1 and the last one only");
    fixture.run(500ms);
    cr_assert_eq(fixture.reports.back().terms, fixture.view().term - 1);
}

// Guards against a new leader that continues the election of an earlier leader, whose chosen
// primary may or may not have been promoted.
Test(election, aNewLeaderBeginsANewTermAfterAnInterruptedElection)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.catalog.apply(CatalogCommand{BeginTerm{"orders", 2}},
                          fixture.catalog.appliedIndex() + 1);
    fixture.catalog.apply(CatalogCommand{SetPrimary{"orders", 2, otherVoters(fixture)[0]}},
                          fixture.catalog.appliedIndex() + 1);
    fixture.changeLeader();
    fixture.run(1400ms);
    cr_assert_eq(fixture.view().term, 2u);
    const auto done = replaced(fixture, 3, 2s);
    cr_assert(done);
}

// Guards against a former primary that keeps its role or a divergent log tail after it returns.
Test(election, aReturningPrimaryFollowsTheNewOne)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto old = fixture.view().primary;
    fixture.kill(old);
    const auto done = replaced(fixture, 2, 3s);
    cr_assert(done);
    cr_assert(fixture.endpoints.at(old).role == "primary", "nobody could tell it");
    fixture.revive(old, false);
    fixture.run(1500ms);
    cr_assert(fixture.endpoints.at(old).role == "replica");
    cr_assert_eq(fixture.endpoints.at(old).term, 2u);
    cr_assert(fixture.endpoints.at(old).primary == fixture.view().primary);
    cr_assert_eq(fixture.view().term, 2u);
}

// Guards against choosing a primary that most hosts cannot reach over an equally advanced one that
// they can.
Test(election, amongEquallyAdvancedVotersTheOneThatMostObserversReachIsChosen)
{
    CoordinatorFixture fixture;
    fixture.form();
    cr_assert_eq(fixture.view().primary, "orders-1");
    fixture.hosts.at("entry-a").cutOffFrom.insert("orders-2");
    fixture.hosts.at("entry-c").cutOffFrom.insert("orders-2");
    fixture.run(1s);
    fixture.kill("orders-1");
    const auto done = replaced(fixture, 2, 3s);
    cr_assert(done);
    cr_assert_eq(fixture.view().primary, "orders-3");
}

// Guards against losing entries by choosing for reachability before log position.
Test(election, aMoreAdvancedVoterIsChosenThoughFewerObserversReachIt)
{
    CoordinatorFixture fixture;
    fixture.form();
    cr_assert_eq(fixture.view().primary, "orders-1");
    fixture.hosts.at("entry-a").cutOffFrom.insert("orders-3");
    fixture.hosts.at("entry-c").cutOffFrom.insert("orders-3");
    fixture.run(1s);
    ++fixture.endpoints.at("orders-3").position.index;
    fixture.kill("orders-1");
    const auto done = replaced(fixture, 2, 3s);
    cr_assert(done);
    cr_assert_eq(fixture.view().primary, "orders-3");
}
