#include <algorithm>
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include <hyssoprock/message/codec.hpp>
#include <support/raft_simulation.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RaftSimulation;

namespace {

const std::vector<std::string> initialVoters{"c1", "c2", "c3"};

void addHosts(RaftSimulation &simulation)
{
    for (const auto &name : initialVoters) {
        simulation.add(name, initialVoters);
    }
    simulation.runUntilLeader();
    simulation.add("c4", {"c1", "c2", "c3", "c4"});
    simulation.run(seconds{2});
}

bool isVoter(RaftSimulation &simulation, const std::string &host)
{
    const auto &voters = simulation.node(simulation.runUntilLeader()).voters();
    return std::find(voters.begin(), voters.end(), host) != voters.end();
}

void change(RaftSimulation &simulation, const std::string &host, bool add)
{
    simulation.deliver(simulation.runUntilLeader(), raft::ProposeVoterChange{1, host, add});
}

} // namespace

// Guards against a new host that is counted before it has caught up, or never. Seed 1.
Test(voterChange, newHostCatchesUpAndIsCounted)
{
    RaftSimulation simulation{1, {}};
    addHosts(simulation);
    cr_assert_not(isVoter(simulation, "c4"));
    change(simulation, "c4", true);
    cr_assert_not(isVoter(simulation, "c4"), "it is not a voter before it has the log");
    simulation.run(seconds{3});
    cr_assert(isVoter(simulation, "c4"));
    cr_assert_not(simulation.node("c4").recovering());
    cr_assert_eq(simulation.node("c4").voters().size(), 4);
}

// Guards against two leaders after two simultaneous changes, whose majorities need not overlap.
// Seed 2.
Test(voterChange, secondChangeIsRefusedWhileOneIsInProgress)
{
    RaftSimulation simulation{2, {}};
    addHosts(simulation);
    change(simulation, "c4", true);
    change(simulation, "c2", false);
    cr_assert_eq(simulation.rejected.size(), 1);
    cr_assert(simulation.rejected.front().error.kind == ErrorKind::Refused);
}

// Guards against an incomplete change after a crash of the leader at any point of it. Seeds 1
// to 40.
Test(voterChange, leaderCrashesDuringTheChange)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RaftSimulation simulation{seed, {}};
        addHosts(simulation);
        const auto leader = simulation.runUntilLeader();
        change(simulation, "c4", true);
        simulation.run(milliseconds{20 * static_cast<std::int64_t>(seed)});
        simulation.crash(leader);
        simulation.run(seconds{4});
        simulation.start(leader);
        simulation.run(seconds{2});
        if (!isVoter(simulation, "c4")) {
            change(simulation, "c4", true);
            simulation.run(seconds{4});
        }
        cr_assert(isVoter(simulation, "c4"), "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Guards against a removed leader that stays leader, or a removed host that disrupts the group.
// Seed 3.
Test(voterChange, removedLeaderStepsDownAndStaysQuiet)
{
    RaftSimulation simulation{3, {}};
    addHosts(simulation);
    const auto removed = simulation.runUntilLeader();
    change(simulation, removed, false);
    simulation.run(seconds{3});
    const auto next = simulation.runUntilLeader();
    cr_assert(next != removed);
    cr_assert_not(isVoter(simulation, removed));
    const auto term = simulation.node(next).term();
    simulation.run(seconds{20});
    cr_assert_eq(simulation.node(next).term(), term);
}

// Guards against a change that waits indefinitely for a host that never responds. Seed 4.
Test(voterChange, unreachableHostIsAbandoned)
{
    RaftSimulation simulation{4, {}};
    addHosts(simulation);
    change(simulation, "c9", true);
    simulation.run(seconds{30});
    cr_assert_eq(simulation.rejected.size(), 1);
    cr_assert(simulation.rejected.front().error.kind == ErrorKind::Unreachable);
    change(simulation, "c4", true);
    simulation.run(seconds{3});
    cr_assert(isVoter(simulation, "c4"));
}

// Guards against a group that cannot elect a leader: the host that is being removed has the longest
// log and so grants no vote to the others, and it has to become leader once more.
Test(voterChange, hostCampaignsUntilItsRemovalIsCommitted)
{
    RestoredState state;
    state.hardState.term = 5;
    state.snapshot = RaftSnapshot{{5, 20}, {"c1", "c2", "c3", "c4"}, "state"};
    state.entries = {
        LogEntry{{5, 21}, LogEntryKind::Voters, encode(VoterList{{"c1", "c3", "c4"}})}};
    const Instant start{seconds{100}};
    RaftNode node{{"c2", initialVoters}, {}, state, 1, start};
    const auto actions = node.handle(raft::Tick{}, start + seconds{1});
    const auto asked = std::count_if(actions.begin(), actions.end(), [](const auto &action) {
        return std::holds_alternative<raft::SendMessage>(action);
    });
    cr_assert_eq(asked, 3);
    cr_assert(node.role() == RaftRole::PreCandidate);
}

// Guards against a snapshot with the voters of an uncommitted change: if the change is lost, the
// host would have the wrong voters after a restart.
Test(voterChange, snapshotNamesTheVotersOfItsLastEntry)
{
    RestoredState state;
    state.hardState.term = 5;
    state.snapshot = RaftSnapshot{{5, 20}, initialVoters, "state"};
    state.entries = {
        LogEntry{{5, 21}, LogEntryKind::Command, "x"},
        LogEntry{{5, 22}, LogEntryKind::Voters, encode(VoterList{{"c1", "c2", "c3", "c4"}})}};
    const Instant start{seconds{100}};
    RaftNode node{{"c2", initialVoters}, {}, state, 1, start};
    AppendRequest heartbeat;
    heartbeat.from = "c1";
    heartbeat.term = 5;
    heartbeat.previous = {5, 22};
    heartbeat.commitIndex = 21;
    (void)node.handle(raft::MessageReceived{heartbeat}, start);
    cr_assert_eq(node.commitIndex(), 21);
    const auto actions = node.handle(raft::SnapshotTaken{21, "later"}, start);
    const auto *saved = std::get_if<raft::SaveSnapshot>(&actions.front());
    cr_assert(saved != nullptr && saved->snapshot.voters == initialVoters);
    cr_assert_eq(node.voters().size(), 4);
}

// Guards against a removed voter with old data that increases the term of the group, or that cannot
// be added again.
Test(voterChange, removedVoterWithDataDoesNotDisruptAndCanRejoin)
{
    RaftSimulation simulation{17, {}};
    addHosts(simulation);
    const auto leader = simulation.runUntilLeader();
    const std::string removed = leader == "c3" ? "c2" : "c3";
    simulation.isolate(removed);
    simulation.deliver(leader, raft::ProposeVoterChange{1, removed, false});
    simulation.run(seconds{3});
    const auto term = simulation.node(leader).term();
    simulation.heal();
    simulation.crash(removed);
    simulation.start(removed);
    simulation.run(seconds{10});
    cr_assert(simulation.leader() == leader);
    cr_assert(simulation.node(leader).term() == term);
    simulation.deliver(leader, raft::ProposeVoterChange{2, removed, true});
    simulation.propose(leader, "after");
    simulation.run(seconds{3});
    cr_assert(isVoter(simulation, removed));
    cr_assert(simulation.host(removed).state.encode() == simulation.host(leader).state.encode());
}
