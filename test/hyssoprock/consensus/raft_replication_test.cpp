#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include <support/raft_simulation.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RaftSimulation;

namespace {

const std::vector<std::string> founders{"c1", "c2", "c3"};

void addFounders(RaftSimulation &simulation)
{
    for (const auto &name : founders) {
        simulation.add(name, founders);
    }
}

std::vector<std::string> followersOf(const std::string &leader)
{
    auto names = founders;
    std::erase(names, leader);
    return names;
}

void proposeMany(RaftSimulation &simulation, int count)
{
    for (int i = 0; i < count; ++i) {
        simulation.propose(simulation.awaitLeader(), "command-" + std::to_string(i));
        simulation.run(milliseconds{2});
    }
}

} // namespace

// Guards against entries that are lost, applied twice or out of order. Seeds 1 to 10.
Test(replication, lostAndDuplicatedMessages)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RaftSimulation simulation{seed, {}};
        simulation.faults = {20, 30, milliseconds{1}, milliseconds{40}};
        addFounders(simulation);
        proposeMany(simulation, 50);
        simulation.faults = {};
        simulation.run(seconds{3});
        for (int i = 0; i < 50; ++i) {
            const auto command = "command-" + std::to_string(i);
            const auto appendedTwice = std::count_if(
                simulation.history.committed().begin(), simulation.history.committed().end(),
                [&](const auto &item) { return item.second.payload == command; });
            cr_assert(appendedTwice <= 1);
        }
        const auto state = simulation.host(simulation.awaitLeader()).state.encode();
        for (const auto &name : founders) {
            cr_assert(simulation.host(name).state.encode() == state);
        }
        cr_assert(simulation.counts["message lost"] > 0);
        cr_assert(simulation.counts["message duplicated"] > 0);
    }
}

// Guards against a follower that counts an entry as held although it crashed before answering, and
// against one that loses a synced entry. Seed 5.
Test(replication, followerCrashesBetweenPersistAndSend)
{
    RaftSimulation simulation{5, {}};
    addFounders(simulation);
    const auto leader = simulation.awaitLeader();
    const auto followers = followersOf(leader);
    simulation.crash(followers[0]);
    simulation.run(milliseconds{50});
    simulation.host(followers[1]).crashAfterActions = 1;
    simulation.propose(leader, "uncertain");
    simulation.run(milliseconds{100});
    cr_assert_not(simulation.up(followers[1]));
    cr_assert_not(simulation.history.hasCommitted("uncertain"));

    // Only the host that crashed after its sync can bring the entry back.
    const auto &position = simulation.appended.back().position;
    simulation.crash(leader);
    simulation.start(followers[1]);
    cr_assert(simulation.node(followers[1]).lastPosition() == position);
    simulation.start(followers[0]);
    simulation.awaitLeader();
    cr_assert(simulation.history.hasCommitted("uncertain"));
}

// Guards against a leader whose unreplicated tail overrides what the group committed. Seed 6.
Test(replication, divergentTailIsTruncated)
{
    RaftSimulation simulation{6, {}};
    addFounders(simulation);
    const auto old = simulation.awaitLeader();
    simulation.isolate(old);
    simulation.propose(old, "never committed");
    simulation.run(seconds{3});
    const auto next = simulation.awaitLeader();
    cr_assert(next != old);
    simulation.propose(next, "committed");
    simulation.run(seconds{1});
    simulation.heal();
    simulation.run(seconds{2});
    cr_assert(simulation.counts["log truncated"] > 0);
    cr_assert_not(simulation.history.hasCommitted("never committed"));
    cr_assert(simulation.host(old).state.encode() == simulation.host(next).state.encode());
}

// Guards against a restart that replays the whole history or starts from a wrong state. Seed 7.
Test(replication, restartAfterHundredsOfEntries)
{
    RaftSettings settings;
    settings.snapshotEntries = 50;
    RaftSimulation simulation{7, settings};
    addFounders(simulation);
    proposeMany(simulation, 400);
    simulation.run(seconds{1});
    const auto before = simulation.host("c2").state.hash;
    for (const auto &name : founders) {
        simulation.crash(name);
    }
    for (const auto &name : founders) {
        simulation.start(name);
        auto &host = simulation.host(name);
        cr_assert(host.state.index >= 350, "most of the state comes from the snapshot");
        cr_assert(simulation.node(name).lastPosition().index < host.state.index + 60);
    }
    simulation.awaitLeader();
    simulation.run(seconds{1});
    cr_assert_eq(simulation.host("c2").state.hash, before);
}

// Guards against a host that can never catch up once the leader has compacted its log. Seed 9.
Test(replication, slowFollowerGetsASnapshot)
{
    RaftSettings settings;
    settings.snapshotEntries = 20;
    RaftSimulation simulation{9, settings};
    addFounders(simulation);
    const auto leader = simulation.awaitLeader();
    const auto slow = followersOf(leader).front();
    simulation.isolate(slow);
    proposeMany(simulation, 200);
    simulation.heal();
    simulation.run(seconds{2});
    cr_assert(simulation.counts["snapshot installed"] >= 1);
    cr_assert(simulation.host(slow).state.encode() == simulation.host(leader).state.encode());
}

// Guards against lost commits: the host that lost its data held the only other copy. Seeds 1 to 20.
Test(replication, lostDataFolderElectsNobodyWithoutTheEntry)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RaftSimulation simulation{seed, {}};
        addFounders(simulation);
        const auto leader = simulation.awaitLeader();
        const auto behind = followersOf(leader)[0];
        const auto lost = followersOf(leader)[1];
        simulation.isolate(behind);
        simulation.propose(leader, "acknowledged");
        simulation.run(milliseconds{100});
        cr_assert(simulation.history.hasCommitted("acknowledged"));

        simulation.heal();
        simulation.isolate(leader);
        simulation.loseData(lost);
        simulation.start(lost);
        simulation.run(seconds{10});
        cr_assert_not(simulation.leader().has_value(), "seed %lu",
                      static_cast<unsigned long>(seed));

        simulation.heal();
        const auto next = simulation.awaitLeader();
        simulation.run(seconds{5});
        cr_assert_not(simulation.node(lost).recovering());
        cr_assert(simulation.host(lost).state.encode() == simulation.host(next).state.encode());
    }
}

// Guards against a host without data that is never counted again. Seed 12.
Test(replication, readmittedHostCountsTowardsTheMajority)
{
    RaftSimulation simulation{12, {}};
    addFounders(simulation);
    const auto leader = simulation.awaitLeader();
    const auto lost = followersOf(leader)[0];
    simulation.loseData(lost);
    simulation.start(lost);
    simulation.run(seconds{4});
    cr_assert_not(simulation.node(lost).recovering());
    simulation.crash(followersOf(leader)[1]);
    simulation.propose(leader, "with the readmitted host");
    simulation.run(seconds{1});
    cr_assert(simulation.history.hasCommitted("with the readmitted host"));
}
