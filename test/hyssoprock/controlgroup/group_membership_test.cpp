#include <criterion/criterion.h>

#include <hyssoprock/controlgroup/group_membership.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};

GroupMembership makeMembership(const std::string &self, std::uint32_t failures = 1)
{
    return GroupMembership{{self, {"c1", "c2", "c3"}, false, failures}};
}

ControlGroupStatus leaderStatus(const std::vector<VoterStatus> &voters)
{
    ControlGroupStatus status;
    status.leading = true;
    status.term = 2;
    status.leader = "c1";
    status.voters = voters;
    return status;
}

} // namespace

// Guards against a host with a lost disk that forms a second group from its seeds.
Test(groupMembership, onlyTheFirstStartHasInitialVoters)
{
    cr_assert(initialVoters({"c1", {"c3", "c1", "c2", "c1"}, true, 1})
              == (std::vector<std::string>{"c1", "c2", "c3"}));
    cr_assert(initialVoters({"c1", {"c3", "c1", "c2"}, false, 1}).empty());
}

// Guards against a new host that sends only one request, and against a spare that floods the group
// with requests.
Test(groupMembership, newHostRequestsToJoinUntilItIsAVoterWithALeader)
{
    auto membership = makeMembership("c4");
    membership.recordHost("c5", start);
    ControlGroupStatus status;
    cr_assert(membership.tick(status, start).joinRequestTargets
              == (std::vector<std::string>{"c1", "c2", "c3", "c5"}));
    cr_assert(membership.tick(status, start + milliseconds{400}).joinRequestTargets.empty());
    cr_assert(!membership.tick(status, start + milliseconds{500}).joinRequestTargets.empty());
    cr_assert(!membership.tick(status, start + seconds{11}).joinRequestTargets.empty());
    cr_assert(membership.tick(status, start + milliseconds{11500}).joinRequestTargets.empty());
    cr_assert(!membership.tick(status, start + milliseconds{12000}).joinRequestTargets.empty());
    status.voters = {{"c1", {}, false}, {"c4", {}, false}};
    status.leaderSeenAt = start + seconds{13};
    cr_assert(membership.tick(status, start + seconds{14}).joinRequestTargets.empty());
    // Removed while it was disconnected: its own log still lists it as a voter.
    cr_assert(!membership.tick(status, start + seconds{15}).joinRequestTargets.empty());
}

// Guards against new seeds that are read but not used: a host whose old seeds are all gone would
// never find the group. Voters and recently seen hosts stay known.
Test(groupMembership, newSeedsReplaceTheOldOnes)
{
    auto membership = makeMembership("c4");
    membership.recordHost("c5", start);
    ControlGroupStatus status;
    status.voters = {{"c2", {}, false}};
    cr_assert(!membership.tick(status, start).joinRequestTargets.empty());
    membership.setSeeds({"c6", "c4", "c7"});
    const std::vector<std::string> expected{"c2", "c5", "c6", "c7"};
    cr_assert(membership.knownHosts() == expected);
    cr_assert(membership.tick(status, start + milliseconds{500}).joinRequestTargets == expected);
}

// Guards against a request that two hosts forward to each other in a loop.
Test(groupMembership, onlyTheFirstReceiverForwards)
{
    auto membership = makeMembership("c2");
    cr_assert(membership.handle(JoinRequest{"c4"}, "c4", "c1", start) == "c1");
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c3", "c1", start));
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "", start));
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c2", start));
}

// Guards against keeping a silent voter although a spare exists, against removing it before the
// spare is a voter, and against two changes at a time.
Test(groupMembership, spareReplacesSilentVoter)
{
    auto membership = makeMembership("c1");
    std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", start, false}, {"c3", {}, false}};
    cr_assert(!membership.tick(leaderStatus(voters), start).voterToAdd);
    auto now = start + milliseconds{1600};
    voters[1].confirmedAt = now;
    cr_assert(!membership.tick(leaderStatus(voters), now).voterToAdd, "there is no spare");
    cr_assert(!membership.tick(leaderStatus(voters), now).voterToRemove);
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", now));
    cr_assert(membership.tick(leaderStatus(voters), now).voterToAdd == "c4");
    const auto busy = membership.tick(leaderStatus(voters), now);
    cr_assert(!busy.voterToAdd && !busy.voterToRemove && !busy.cancelJoin);
    membership.handleChangeResult(true);
    voters.push_back({"c4", now, false});
    cr_assert(membership.tick(leaderStatus(voters), now).voterToRemove == "c3");
}

// Guards against a removal that leaves the group without a majority.
Test(groupMembership, keepsASilentVoterThatIsNeeded)
{
    auto membership = makeMembership("c1");
    std::vector<VoterStatus> voters{
        {"c1", {}, false}, {"c2", start, false}, {"c3", {}, false}, {"c4", start, true}};
    cr_assert(!membership.tick(leaderStatus(voters), start).voterToRemove);
    const auto now = start + milliseconds{1600};
    voters[1].confirmedAt = now - milliseconds{1550};
    voters[3].confirmedAt = now;
    cr_assert(!membership.tick(leaderStatus(voters), now).voterToRemove);
}

// Guards against selecting or waiting for a candidate that has died.
Test(groupMembership, expiresOldCandidates)
{
    auto membership = makeMembership("c1");
    const std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", start, false}};
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", start));
    cr_assert(!membership.tick(leaderStatus(voters), start + milliseconds{2100}).voterToAdd);
    cr_assert(!membership.handle(JoinRequest{"c5"}, "c5", "c1", start + seconds{3}));
    cr_assert(membership.tick(leaderStatus(voters), start + seconds{3}).voterToAdd == "c5");
    cr_assert(membership.tick(leaderStatus(voters), start + milliseconds{5100}).cancelJoin);
    membership.handleChangeResult(false);
    cr_assert(!membership.tick(leaderStatus(voters), start + milliseconds{5200}).voterToAdd);
}

// Guards against a stopped voter that is not replaced, or that is replaced after it has returned.
Test(groupMembership, replacesALeavingVoter)
{
    auto membership = makeMembership("c1");
    auto now = start;
    std::vector<VoterStatus> voters{{"c1", {}, false}, {"c2", now, false}, {"c3", now, false}};
    membership.handle(LeaveRequest{"c3"}, now);
    cr_assert(!membership.tick(leaderStatus(voters), now).voterToRemove);
    cr_assert(!membership.handle(JoinRequest{"c4"}, "c4", "c1", now));
    cr_assert(membership.tick(leaderStatus(voters), now).voterToAdd == "c4");
    membership.handleChangeResult(true);
    voters.push_back({"c4", now, false});
    cr_assert(membership.tick(leaderStatus(voters), now).voterToRemove == "c3");
    membership.handleChangeResult(false);
    cr_assert(!membership.handle(JoinRequest{"c3"}, "c3", "c1", now));
    cr_assert(!membership.tick(leaderStatus(voters), now).voterToRemove);
}

// Guards against a group that grows without bound.
Test(groupMembership, targetVoterCountIsOddAndBounded)
{
    cr_assert(makeMembership("c1", 0).targetVoterCount() == 3);
    cr_assert(makeMembership("c1", 1).targetVoterCount() == 3);
    cr_assert(makeMembership("c1", 2).targetVoterCount() == 5);
    cr_assert(makeMembership("c1", 9).targetVoterCount() == 7);
}

// Guards against a group of two voters, which does not survive any loss, when the settings tolerate
// 0 failures.
Test(groupMembership, toleratesAtLeastOneFailure)
{
    auto membership = makeMembership("c1", 0);
    const auto later = start + seconds{3};
    (void)membership.tick(leaderStatus({{"c1", start, false}, {"c2", start, false}}), start);
    (void)membership.handle(JoinRequest{"c3"}, "c3", "c1", later);
    const auto status = leaderStatus({{"c1", later, false}, {"c2", later, false}});
    cr_assert(membership.tick(status, later).voterToAdd == "c3");
}
