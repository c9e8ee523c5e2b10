#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

#include "bench.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::Bench;

namespace {

/// A voter that is not the primary.
std::string someReplica(const Bench &bench)
{
    return bench.view().primary == "orders-3" ? "orders-2" : "orders-3";
}

/// Data centres that have a voter.
std::set<std::string> voterDataCentres(const Bench &bench)
{
    std::set<std::string> dataCentres;
    for (const auto &member : bench.view().members) {
        if (member.voter) {
            dataCentres.insert(member.announcement.dataCentre);
        }
    }
    return dataCentres;
}

/// Makes orders-4 in dc-a take the place of orders-2, the voter of dc-b.
void crowdDataCentreA(Bench &bench)
{
    bench.form();
    cr_assert_eq(bench.view().primary, "orders-1");
    bench.kill("orders-2");
    const auto replaced = bench.runUntil([&] { return !bench.isVoter("orders-2"); }, 10s);
    cr_assert(replaced);
    cr_assert(bench.isVoter("orders-4"), "there is no other spare");
    cr_assert_eq(voterDataCentres(bench).size(), 2u);
}

bool logged(const Bench &bench, const std::string &text)
{
    return std::any_of(bench.log.begin(), bench.log.end(),
                       [&](const auto &line) { return line.find(text) != std::string::npos; });
}

} // namespace

// Guards against a voter that stays lost, and against two voters changed at once.
Test(repair, aLongDeadVoterIsReplacedOneVoterAtATime)
{
    Bench bench;
    bench.form();
    const auto dead = someReplica(bench);
    bench.kill(dead);
    bench.run(4s);
    cr_assert_eq(bench.count<SetVoter>(), 0, "five seconds of silence are needed");
    const auto added = bench.runUntil([&] { return bench.isVoter("orders-4"); }, 3s);
    cr_assert(added);
    cr_assert(bench.isVoter(dead), "the lost voter leaves only after the new one is settled");
    const auto removed = bench.runUntil([&] { return !bench.isVoter(dead); }, 3s);
    cr_assert(removed);
    bench.run(2s);
    cr_assert_eq(bench.count<SetVoter>(), 2);
    cr_assert_eq(bench.primary().voters.size(), 3u, "the primary has been told");
}

// Guards against majorities that do not overlap: until a majority of the new voters holds what the
// primary has, the next change must wait.
Test(repair, theNextChangeWaitsUntilAMajorityHoldsEverything)
{
    Bench bench;
    bench.form();
    const auto dead = someReplica(bench);
    bench.kill(dead);
    const auto added = bench.runUntil([&] { return bench.isVoter("orders-4"); }, 8s);
    cr_assert(added);
    bench.primary().majorityFollows = false;
    bench.primary().position.index = 50;
    bench.primary().majorityIndex = 49;
    bench.run(5s);
    cr_assert(bench.isVoter(dead));
    bench.primary().majorityIndex = 50;
    bench.run(1s);
    cr_assert(!bench.isVoter(dead));
}

// Guards against a host that still acknowledges by the voters of two changes ago.
Test(repair, theNextChangeWaitsForHostsWithTheOldVoters)
{
    Bench bench;
    bench.form();
    const auto dead = someReplica(bench);
    bench.kill(dead);
    const auto silent =
        bench.runUntil([&] { return bench.now > bench.hosts.at("entry-b").leaseEnd; }, 4500ms);
    cr_assert(!silent);
    bench.hosts.at("entry-b").confirms = false;
    const auto added = bench.runUntil([&] { return bench.isVoter("orders-4"); }, 8s);
    cr_assert(added);
    bench.run(1s);
    cr_assert(bench.isVoter(dead), "its lease from before the change is valid");
    bench.run(2s);
    cr_assert(!bench.isVoter(dead));
}

// Guards against a spare that becomes a voter while it is far behind.
Test(repair, aSpareFarBehindDoesNotBecomeAVoter)
{
    Bench bench;
    bench.form();
    bench.primary().position.index = 5000;
    bench.kill(someReplica(bench));
    bench.run(10s);
    cr_assert_eq(bench.count<SetVoter>(), 0);
    bench.endpoints.at("orders-4").position = {1, 4990};
    bench.run(2s);
    cr_assert(bench.isVoter("orders-4"));
}

// Guards against a group that cannot survive the next loss after a repair: the new voter counts.
Test(repair, aSecondLossRightAfterARepairIsSurvived)
{
    Bench bench;
    bench.form();
    const auto dead = someReplica(bench);
    bench.kill(dead);
    const auto repaired = bench.runUntil([&] { return !bench.isVoter(dead); }, 10s);
    cr_assert(repaired);
    const auto primary = bench.view().primary;
    bench.kill(primary);
    const auto replaced =
        bench.runUntil([&] { return bench.active() && bench.view().primary != primary; }, 3s);
    cr_assert(replaced);
}

// Guards against voters that stay at the wrong number after the declaration has changed.
Test(repair, followsTheDeclaredNumberOfInstances)
{
    Bench bench;
    bench.form();
    bench.change(DeclareGroup{"orders", 4});
    bench.run(2s);
    cr_assert_eq(bench.voters(), 4u);
    bench.change(DeclareGroup{"orders", 3});
    bench.run(2s);
    cr_assert_eq(bench.voters(), 3u);
    cr_assert(bench.isVoter(bench.view().primary));
}

// Guards against a repair that puts two voters into one data centre although a spare elsewhere has
// caught up: the group would lose its majority with that data centre.
Test(repair, theSpareInADataCentreWithoutVotersIsChosen)
{
    Bench bench;
    bench.endpoints["orders-5"] = {.dataCentre = "dc-b"};
    const Announcement announcement{"orders-5", "orders", "dc-b", "127.0.0.1:5005", 1, 40, 5};
    bench.catalog.apply(CatalogCommand{RecordEndpoint{announcement}},
                        bench.catalog.appliedIndex() + 1);
    bench.form();
    bench.kill("orders-2");
    const auto replaced = bench.runUntil([&] { return !bench.isVoter("orders-2"); }, 10s);
    cr_assert(replaced);
    cr_assert(bench.isVoter("orders-5"));
    cr_assert(!bench.isVoter("orders-4"), "dc-a has a voter already");
    cr_assert(logged(bench, "orders-5 in dc-b becomes a voter"));
}

// Guards against voters that stay crowded after a repair: the loss of dc-a would then leave one
// voter of three, and no primary until dc-a is back.
Test(repair, votersSpreadAgainOnceTheirDataCentreIsBackAndSurviveTheLossOfOne)
{
    Bench bench;
    crowdDataCentreA(bench);
    bench.revive("orders-2");
    const auto added = bench.runUntil([&] { return bench.isVoter("orders-2"); }, 5s);
    cr_assert(added);
    cr_assert_eq(bench.voters(), 4u, "the surplus voter leaves only after the new one is settled");
    const auto removed = bench.runUntil([&] { return !bench.isVoter("orders-4"); }, 3s);
    cr_assert(removed);
    cr_assert_eq(bench.voters(), 3u);
    cr_assert_eq(voterDataCentres(bench).size(), 3u);
    cr_assert(logged(bench, "another data centre has at least two voters more"));
    cr_assert(logged(bench, "no other data centre has more voters"));
    bench.run(10s);
    cr_assert_eq(bench.count<SetVoter>(), 4, "two for the repair, two for the better spread");
    bench.kill("orders-1");
    bench.kill("orders-4");
    const auto replaced =
        bench.runUntil([&] { return bench.active() && bench.view().primary != "orders-1"; }, 3s);
    cr_assert(replaced);
}

// Guards against changes of voters back and forth while a member flaps.
Test(repair, aFlappingSpareDoesNotBecomeAVoterForABetterSpread)
{
    Bench bench;
    crowdDataCentreA(bench);
    for (int i = 0; i < 10; ++i) {
        bench.revive("orders-2");
        bench.run(1500ms);
        bench.kill("orders-2");
        bench.run(1500ms);
    }
    cr_assert_eq(bench.count<SetVoter>(), 2);
}

// Guards against a voter that is given up for a short silence after the voters were spread again.
Test(repair, aFlappingVoterStaysAVoter)
{
    Bench bench;
    crowdDataCentreA(bench);
    bench.revive("orders-2");
    bench.run(8s);
    cr_assert_eq(bench.count<SetVoter>(), 4);
    for (int i = 0; i < 10; ++i) {
        bench.kill("orders-2");
        bench.run(1500ms);
        bench.revive("orders-2");
        bench.run(3s);
    }
    cr_assert_eq(bench.count<SetVoter>(), 4);
}

// Guards against a move for a better spread while the group can bear no further loss.
Test(repair, votersDoNotMoveForABetterSpreadWhileOneIsUnhealthy)
{
    Bench bench;
    crowdDataCentreA(bench);
    bench.revive("orders-2");
    bench.kill("orders-3");
    bench.run(4500ms);
    cr_assert_eq(bench.count<SetVoter>(), 2, "orders-3 does not count as lost yet");
    bench.revive("orders-3");
    bench.run(8s);
    cr_assert_eq(bench.count<SetVoter>(), 4);
    cr_assert_eq(voterDataCentres(bench).size(), 3u);
}

// Guards against a removal that leaves fewer than a majority of voters that answer, when two more
// fail in the middle of a move.
Test(repair, aVoterThatAnswersStaysWhileTheOthersAreNoMajority)
{
    Bench bench;
    crowdDataCentreA(bench);
    bench.run(1s); // the voters of the repair are settled
    bench.revive("orders-2");
    bench.primary().majorityFollows = false;
    bench.primary().majorityIndex = bench.primary().position.index - 1;
    const auto added = bench.runUntil([&] { return bench.isVoter("orders-2"); }, 5s);
    cr_assert(added);
    bench.kill("orders-2");
    bench.kill("orders-3");
    bench.run(1s);
    bench.primary().majorityFollows = true; // they had everything before they failed
    const auto removed = bench.runUntil([&] { return bench.voters() == 3; }, 3s);
    cr_assert(removed);
    cr_assert(bench.isVoter("orders-4"), "of the other three only the primary answers");
    bench.run(2s);
    cr_assert_eq(bench.voters(), 3u, "a silent voter has gone instead");
}
