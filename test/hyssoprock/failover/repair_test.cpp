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
