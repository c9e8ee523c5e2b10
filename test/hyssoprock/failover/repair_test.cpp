#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

#include "coordinator_fixture.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::CoordinatorFixture;

namespace {

/// Returns a voter other than the primary.
std::string someReplica(const CoordinatorFixture &fixture)
{
    return fixture.view().primary == "orders-3" ? "orders-2" : "orders-3";
}

/// Returns the data centres that have a voter.
std::set<std::string> voterDataCentres(const CoordinatorFixture &fixture)
{
    std::set<std::string> dataCentres;
    for (const auto &member : fixture.view().members) {
        if (member.voter) {
            dataCentres.insert(member.announcement.dataCentre);
        }
    }
    return dataCentres;
}

/// Makes orders-4 in dc-a replace orders-2, the voter in dc-b.
void crowdDataCentreA(CoordinatorFixture &fixture)
{
    fixture.form();
    cr_assert_eq(fixture.view().primary, "orders-1");
    fixture.kill("orders-2");
    const auto replaced = fixture.runUntil([&] { return !fixture.isVoter("orders-2"); }, 10s);
    cr_assert(replaced);
    cr_assert(fixture.isVoter("orders-4"), "there is no other spare");
    cr_assert_eq(voterDataCentres(fixture).size(), 2u);
}

bool logged(const CoordinatorFixture &fixture, const std::string &text)
{
    return std::any_of(fixture.log.begin(), fixture.log.end(),
                       [&](const auto &line) { return line.find(text) != std::string::npos; });
}

} // namespace

// Guards against a failed voter that is never replaced, and against two simultaneous changes.
Test(repair, aFailedVoterIsReplacedOneChangeAtATime)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto dead = someReplica(fixture);
    fixture.kill(dead);
    fixture.run(4s);
    cr_assert_eq(fixture.count<SetVoter>(), 0, "five seconds of silence are needed");
    const auto added = fixture.runUntil([&] { return fixture.isVoter("orders-4"); }, 3s);
    cr_assert(added);
    cr_assert(fixture.isVoter(dead),
              "the failed voter is removed only after the new one is settled");
    const auto removed = fixture.runUntil([&] { return !fixture.isVoter(dead); }, 3s);
    cr_assert(removed);
    fixture.run(2s);
    cr_assert_eq(fixture.count<SetVoter>(), 2);
    cr_assert_eq(fixture.primary().voters.size(), 3u, "the primary has been told");
}

// Guards against majorities that do not overlap: the next change must wait until a majority of the
// new voters holds everything that the primary has.
Test(repair, theNextChangeWaitsUntilAMajorityHoldsEverything)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto dead = someReplica(fixture);
    fixture.kill(dead);
    const auto added = fixture.runUntil([&] { return fixture.isVoter("orders-4"); }, 8s);
    cr_assert(added);
    fixture.primary().majorityFollows = false;
    fixture.primary().position.index = 50;
    fixture.primary().majorityIndex = 49;
    fixture.run(5s);
    cr_assert(fixture.isVoter(dead));
    fixture.primary().majorityIndex = 50;
    fixture.run(1s);
    cr_assert(!fixture.isVoter(dead));
}

// Guards against a host that acknowledges writes by the voters before the last two changes.
Test(repair, theNextChangeWaitsForHostsWithTheOldVoters)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto dead = someReplica(fixture);
    fixture.kill(dead);
    const auto silent = fixture.runUntil(
        [&] { return fixture.now > fixture.hosts.at("entry-b").leaseEnd; }, 4500ms);
    cr_assert(!silent);
    fixture.hosts.at("entry-b").confirms = false;
    const auto added = fixture.runUntil([&] { return fixture.isVoter("orders-4"); }, 8s);
    cr_assert(added);
    fixture.run(1s);
    cr_assert(fixture.isVoter(dead), "its lease from before the change is valid");
    fixture.run(2s);
    cr_assert(!fixture.isVoter(dead));
}

// Guards against adding a spare as a voter before it has caught up.
Test(repair, aSpareFarBehindDoesNotBecomeAVoter)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.primary().position.index = 5000;
    fixture.kill(someReplica(fixture));
    fixture.run(10s);
    cr_assert_eq(fixture.count<SetVoter>(), 0);
    fixture.endpoints.at("orders-4").position = {1, 4990};
    fixture.run(2s);
    cr_assert(fixture.isVoter("orders-4"));
}

// Guards against a new voter that does not count towards the majority in the next failover.
Test(repair, aSecondLossRightAfterARepairIsSurvived)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto dead = someReplica(fixture);
    fixture.kill(dead);
    const auto repaired = fixture.runUntil([&] { return !fixture.isVoter(dead); }, 10s);
    cr_assert(repaired);
    const auto primary = fixture.view().primary;
    fixture.kill(primary);
    const auto replaced =
        fixture.runUntil([&] { return fixture.active() && fixture.view().primary != primary; }, 3s);
    cr_assert(replaced);
}

// Guards against a wrong number of voters after a change of the declared number of instances.
Test(repair, followsTheDeclaredNumberOfInstances)
{
    CoordinatorFixture fixture;
    fixture.form();
    fixture.change(DeclareGroup{"orders", 4});
    fixture.run(2s);
    cr_assert_eq(fixture.voters(), 4u);
    fixture.change(DeclareGroup{"orders", 3});
    fixture.run(2s);
    cr_assert_eq(fixture.voters(), 3u);
    cr_assert(fixture.isVoter(fixture.view().primary));
}

// Guards against a replacement that puts two voters into one data centre although a spare in
// another one has caught up: the group would lose its majority with that data centre.
Test(repair, theSpareInADataCentreWithoutVotersIsChosen)
{
    CoordinatorFixture fixture;
    fixture.endpoints["orders-5"] = {.dataCentre = "dc-b"};
    const Announcement announcement{"orders-5", "orders", "dc-b", "127.0.0.1:5005", 1, 40, 5};
    fixture.catalog.apply(CatalogCommand{RecordEndpoint{announcement}},
                          fixture.catalog.appliedIndex() + 1);
    fixture.form();
    fixture.kill("orders-2");
    const auto replaced = fixture.runUntil([&] { return !fixture.isVoter("orders-2"); }, 10s);
    cr_assert(replaced);
    cr_assert(fixture.isVoter("orders-5"));
    cr_assert(!fixture.isVoter("orders-4"), "dc-a has a voter already");
    cr_assert(logged(fixture, "orders-5 in dc-b becomes a voter"));
}

// Guards against two voters that stay in one data centre after a replacement: the loss of dc-a
// would leave one voter of three, and no primary until dc-a returns.
Test(repair, votersAreRedistributedWhenTheirDataCentreReturns)
{
    CoordinatorFixture fixture;
    crowdDataCentreA(fixture);
    fixture.revive("orders-2");
    const auto added = fixture.runUntil([&] { return fixture.isVoter("orders-2"); }, 5s);
    cr_assert(added);
    cr_assert_eq(fixture.voters(), 4u,
                 "the excess voter is removed only after the new one is settled");
    const auto removed = fixture.runUntil([&] { return !fixture.isVoter("orders-4"); }, 3s);
    cr_assert(removed);
    cr_assert_eq(fixture.voters(), 3u);
    cr_assert_eq(voterDataCentres(fixture).size(), 3u);
    cr_assert(logged(fixture, "another data centre has at least two voters more"));
    cr_assert(logged(fixture, "no other data centre has more voters"));
    fixture.run(10s);
    cr_assert_eq(fixture.count<SetVoter>(), 4,
                 "two for the replacement, two for the redistribution");
    fixture.kill("orders-1");
    fixture.kill("orders-4");
    const auto replaced = fixture.runUntil(
        [&] { return fixture.active() && fixture.view().primary != "orders-1"; }, 3s);
    cr_assert(replaced);
}

// Guards against moving voters back and forth while a member fails and recovers repeatedly.
Test(repair, aFlappingSpareIsNotUsedForRedistribution)
{
    CoordinatorFixture fixture;
    crowdDataCentreA(fixture);
    for (int i = 0; i < 10; ++i) {
        fixture.revive("orders-2");
        fixture.run(1500ms);
        fixture.kill("orders-2");
        fixture.run(1500ms);
    }
    cr_assert_eq(fixture.count<SetVoter>(), 2);
}

// Guards against replacing a voter after a short silence that follows a redistribution of voters.
Test(repair, aFlappingVoterStaysAVoter)
{
    CoordinatorFixture fixture;
    crowdDataCentreA(fixture);
    fixture.revive("orders-2");
    fixture.run(8s);
    cr_assert_eq(fixture.count<SetVoter>(), 4);
    for (int i = 0; i < 10; ++i) {
        fixture.kill("orders-2");
        fixture.run(1500ms);
        fixture.revive("orders-2");
        fixture.run(3s);
    }
    cr_assert_eq(fixture.count<SetVoter>(), 4);
}

// Guards against redistributing voters while the group cannot tolerate another failure.
Test(repair, votersAreNotRedistributedWhileOneIsUnhealthy)
{
    CoordinatorFixture fixture;
    crowdDataCentreA(fixture);
    fixture.revive("orders-2");
    fixture.kill("orders-3");
    fixture.run(4500ms);
    cr_assert_eq(fixture.count<SetVoter>(), 2, "orders-3 does not count as out of service yet");
    fixture.revive("orders-3");
    fixture.run(8s);
    cr_assert_eq(fixture.count<SetVoter>(), 4);
    cr_assert_eq(voterDataCentres(fixture).size(), 3u);
}

// Guards against a removal after which no majority of the voters responds, when two more voters
// fail during a redistribution.
Test(repair, aRespondingVoterIsKeptWhileTheOthersAreNoMajority)
{
    CoordinatorFixture fixture;
    crowdDataCentreA(fixture);
    fixture.run(1s); // the voters of the repair are settled
    fixture.revive("orders-2");
    fixture.primary().majorityFollows = false;
    fixture.primary().majorityIndex = fixture.primary().position.index - 1;
    const auto added = fixture.runUntil([&] { return fixture.isVoter("orders-2"); }, 5s);
    cr_assert(added);
    fixture.kill("orders-2");
    fixture.kill("orders-3");
    fixture.run(1s);
    fixture.primary().majorityFollows = true; // they had everything before they failed
    const auto removed = fixture.runUntil([&] { return fixture.voters() == 3; }, 3s);
    cr_assert(removed);
    cr_assert(fixture.isVoter("orders-4"), "of the other three only the primary responds");
    fixture.run(2s);
    cr_assert_eq(fixture.voters(), 3u, "a voter that does not respond is removed instead");
}
