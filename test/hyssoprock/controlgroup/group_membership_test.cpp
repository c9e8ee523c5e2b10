#include <criterion/criterion.h>

#include <hyssoprock/controlgroup/group_membership.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};

GroupMembership membershipOf(const std::string &self, std::uint32_t failures = 1)
{
    return GroupMembership{{self, {"c1", "c2", "c3"}, false, failures}};
}

ControlGroupStatus leaderView(const std::vector<VoterStatus> &voters)
{
    ControlGroupStatus view;
    view.leading = true;
    view.term = 2;
    view.leader = "c1";
    view.voters = voters;
    return view;
}

} // namespace

// Guards against a host with a lost disk that forms a second group out of its seeds.
Test(groupMembership, onlyTheFirstStartNamesVoters)
{
    cr_assert(initialVoters({"c1", {"c3", "c1", "c2", "c1"}, true, 1})
              == (std::vector<std::string>{"c1", "c2", "c3"}));
    cr_assert(initialVoters({"c1", {"c3", "c1", "c2"}, false, 1}).empty());
}

// Guards against a new host that asks once only, and against a spare that floods the group.
Test(groupMembership, newHostAsksUntilItIsALedVoter)
{
    auto membership = membershipOf("c4");
    membership.recordHost("c5", start);
    ControlGroupStatus view;
    cr_assert(membership.tick(view, start).joinRequestTargets
              == (std::vector<std::string>{"c1", "c2", "c3", "c5"}));
    cr_assert(membership.tick(view, start + milliseconds{400}).joinRequestTargets.empty());
    cr_assert(!membership.tick(view, start + milliseconds{500}).joinRequestTargets.empty());
    cr_assert(!membership.tick(view, start + seconds{11}).joinRequestTargets.empty());
    cr_assert(membership.tick(view, start + milliseconds{11500}).joinRequestTargets.empty());
    cr_assert(!membership.tick(view, start + milliseconds{12000}).joinRequestTargets.empty());
    view.voters = {{"c1", {}, false}, {"c4", {}, false}};
    view.leaderSeenAt = start + seconds{13};
    cr_assert(membership.tick(view, start + seconds{14}).joinRequestTargets.empty());
    // Removed while it was cut off: its own log still names it.
    cr_assert(!membership.tick(view, start + seconds{15}).joinRequestTargets.empty());
}

// Guards against new seeds that are read but not used: a host whose old seeds are all gone would
// never find the group. Voters and hosts that were heard of stay known.
Test(groupMembership, newSeedsReplaceTheOldOnes)
{
    auto membership = membershipOf("c4");
    membership.recordHost("c5", start);
    ControlGroupStatus view;
    view.voters = {{"c2", {}, false}};
    cr_assert(!membership.tick(view, start).joinRequestTargets.empty());
    membership.setSeeds({"c6", "c4", "c7"});
    const std::vector<std::string> expected{"c2", "c5", "c6", "c7"};
    cr_assert(membership.knownHosts() == expected);
    cr_assert(membership.tick(view, start + milliseconds{500}).joinRequestTargets == expected);
}

// Guards against a request that two hosts pass to and fro.
Test(groupMembership, onlyTheFirstReceiverForwards)
{
    auto membership = membershipOf("c2");
    cr_assert(membership.handle(JoinRequest{"c4"}, "c4", "c1", start) == "c1");
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c3", "c1", start));
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "", start));
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c2", start));
}

// Guards against a silent voter that stays although a spare exists, against removing it before the
// spare is a voter, and against two changes at a time.
Test(groupMembership, spareReplacesSilentVoter)
{
    auto membership = membershipOf("c1");
    std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", start, false}, {"c3", {}, false}};
    cr_assert(!membership.tick(leaderView(voters), start).voterToAdd);
    auto now = start + milliseconds{1600};
    voters[1].confirmedAt = now;
    cr_assert(!membership.tick(leaderView(voters), now).voterToAdd, "there is no spare");
    cr_assert(!membership.tick(leaderView(voters), now).voterToRemove);
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", now));
    cr_assert(membership.tick(leaderView(voters), now).voterToAdd == "c4");
    const auto busy = membership.tick(leaderView(voters), now);
    cr_assert(!busy.voterToAdd && !busy.voterToRemove && !busy.cancelJoin);
    membership.handleChangeResult(true);
    voters.push_back({"c4", now, false});
    cr_assert(membership.tick(leaderView(voters), now).voterToRemove == "c3");
}

// Guards against a removal after which the group has no majority.
Test(groupMembership, keepsASilentVoterThatIsNeeded)
{
    auto membership = membershipOf("c1");
    std::vector<VoterStatus> voters{
        {"c1", {}, false}, {"c2", start, false}, {"c3", {}, false}, {"c4", start, true}};
    cr_assert(!membership.tick(leaderView(voters), start).voterToRemove);
    const auto now = start + milliseconds{1600};
    voters[1].confirmedAt = now - milliseconds{1550};
    voters[3].confirmedAt = now;
    cr_assert(!membership.tick(leaderView(voters), now).voterToRemove);
}

// Guards against a candidate that has died: neither chosen nor waited for.
Test(groupMembership, forgetsOldCandidates)
{
    auto membership = membershipOf("c1");
    const std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", start, false}};
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", start));
    cr_assert(!membership.tick(leaderView(voters), start + milliseconds{2100}).voterToAdd);
    cr_assert(!membership.handle(JoinRequest{"c5"}, "c5", "c1", start + seconds{3}));
    cr_assert(membership.tick(leaderView(voters), start + seconds{3}).voterToAdd == "c5");
    cr_assert(membership.tick(leaderView(voters), start + milliseconds{5100}).cancelJoin);
    membership.handleChangeResult(false);
    cr_assert(!membership.tick(leaderView(voters), start + milliseconds{5200}).voterToAdd);
}

// Guards against a stopped voter that is not replaced, or replaced after it has come back.
Test(groupMembership, replacesALeavingVoter)
{
    auto membership = membershipOf("c1");
    auto now = start;
    std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", now, false}, {"c3", now, false}};
    membership.handle(LeaveRequest{"c3"}, now);
    cr_assert(!membership.tick(leaderView(voters), now).voterToRemove);
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", now));
    cr_assert(membership.tick(leaderView(voters), now).voterToAdd == "c4");
    membership.handleChangeResult(true);
    voters.push_back({"c4", now, false});
    cr_assert(membership.tick(leaderView(voters), now).voterToRemove == "c3");
    membership.handleChangeResult(false);
    cr_assert(!membership.handle(JoinRequest{"c3"}, "c3", "c1", now));
    cr_assert(!membership.tick(leaderView(voters), now).voterToRemove);
}

// Guards against a group that grows without bound.
Test(groupMembership, targetIsOddAndBounded)
{
    cr_assert(membershipOf("c1", 0).targetVoterCount() == 3);
    cr_assert(membershipOf("c1", 1).targetVoterCount() == 3);
    cr_assert(membershipOf("c1", 2).targetVoterCount() == 5);
    cr_assert(membershipOf("c1", 9).targetVoterCount() == 7);
}

// Guards against a group of two voters, which any loss ends, where the settings give the number of
// hosts that may fail as 0.
Test(groupMembership, toleratesAtLeastOneFailure)
{
    auto membership = membershipOf("c1", 0);
    const auto later = start + seconds{3};
    (void)membership.tick(leaderView({{"c1", start, false}, {"c2", start, false}}), start);
    (void)membership.handle(JoinRequest{"c3"}, "c3", "c1", later);
    const auto view = leaderView({{"c1", later, false}, {"c2", later, false}});
    cr_assert(membership.tick(view, later).voterToAdd == "c3");
}
