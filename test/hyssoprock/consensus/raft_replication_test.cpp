#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include <support/raft_simulation.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RaftSimulation;

namespace {

const std::vector<std::string> initialVoters{"c1", "c2", "c3"};

void addInitialVoters(RaftSimulation &simulation)
{
    for (const auto &name : initialVoters) {
        simulation.add(name, initialVoters);
    }
}

std::vector<std::string> followersOf(const std::string &leader)
{
    auto names = initialVoters;
    std::erase(names, leader);
    return names;
}

void proposeMany(RaftSimulation &simulation, int count)
{
    for (int i = 0; i < count; ++i) {
        simulation.propose(simulation.runUntilLeader(), "command-" + std::to_string(i));
        simulation.run(milliseconds{2});
    }
}

constexpr std::size_t largeBytes = 10000;

// Limits that ten large commands exceed.
RaftSettings smallByteLimits()
{
    RaftSettings settings;
    settings.snapshotBytes = 4 * largeBytes;
    settings.appendBytes = 2 * largeBytes;
    return settings;
}

void proposeLarge(RaftSimulation &simulation, int count)
{
    for (int i = 0; i < count; ++i) {
        simulation.propose(simulation.runUntilLeader(),
                           std::to_string(i) + std::string(largeBytes, 'x'));
        simulation.run(milliseconds{40});
    }
}

std::uint64_t diskBytes(RaftSimulation &simulation, const std::string &host)
{
    std::uint64_t bytes = 0;
    auto &files = simulation.host(host).files;
    const auto names = files.list("raft").value();
    for (const auto &name : names) {
        bytes += files.read("raft/" + name).value().size();
    }
    return bytes;
}

} // namespace

// Guards against entries that are lost, applied twice or out of order. Seeds 1 to 10.
Test(replication, lostAndDuplicatedMessages)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RaftSimulation simulation{seed, {}};
        simulation.faults = {20, 30, milliseconds{1}, milliseconds{40}};
        addInitialVoters(simulation);
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
        const auto state = simulation.host(simulation.runUntilLeader()).state.encode();
        for (const auto &name : initialVoters) {
            cr_assert(simulation.host(name).state.encode() == state);
        }
        cr_assert(simulation.counts["message lost"] > 0);
        cr_assert(simulation.counts["message duplicated"] > 0);
    }
}

// Guards against counting an entry of a follower that crashed before it responded, and against the
// loss of a synced entry. Seed 5.
Test(replication, followerCrashesBetweenPersistAndSend)
{
    RaftSimulation simulation{5, {}};
    addInitialVoters(simulation);
    const auto leader = simulation.runUntilLeader();
    const auto followers = followersOf(leader);
    simulation.crash(followers[0]);
    simulation.run(milliseconds{50});
    simulation.host(followers[1]).crashAfterActions = 1;
    simulation.propose(leader, "uncertain");
    simulation.run(milliseconds{100});
    cr_assert_not(simulation.isUp(followers[1]));
    cr_assert_not(simulation.history.hasCommitted("uncertain"));

    // Only the host that crashed after its sync can bring the entry back.
    const auto &position = simulation.appended.back().position;
    simulation.crash(leader);
    simulation.start(followers[1]);
    cr_assert(simulation.node(followers[1]).lastPosition() == position);
    simulation.start(followers[0]);
    simulation.runUntilLeader();
    cr_assert(simulation.history.hasCommitted("uncertain"));
}

// Guards against a former leader whose unreplicated log tail replaces committed entries. Seed 6.
Test(replication, divergentTailIsTruncated)
{
    RaftSimulation simulation{6, {}};
    addInitialVoters(simulation);
    const auto old = simulation.runUntilLeader();
    simulation.isolate(old);
    simulation.propose(old, "never committed");
    simulation.run(seconds{3});
    const auto next = simulation.runUntilLeader();
    cr_assert(next != old);
    simulation.propose(next, "committed");
    simulation.run(seconds{1});
    simulation.heal();
    simulation.run(seconds{2});
    cr_assert(simulation.counts["log truncated"] > 0);
    cr_assert_not(simulation.history.hasCommitted("never committed"));
    cr_assert(simulation.host(old).state.encode() == simulation.host(next).state.encode());
}

// Guards against a restart that replays the whole log or starts from a wrong state. Seed 7.
Test(replication, restartAfterHundredsOfEntries)
{
    RaftSettings settings;
    settings.snapshotEntries = 50;
    RaftSimulation simulation{7, settings};
    addInitialVoters(simulation);
    proposeMany(simulation, 400);
    simulation.run(seconds{1});
    const auto before = simulation.host("c2").state.hash;
    for (const auto &name : initialVoters) {
        simulation.crash(name);
    }
    for (const auto &name : initialVoters) {
        simulation.start(name);
        auto &host = simulation.host(name);
        cr_assert(host.state.index >= 350, "most of the state comes from the snapshot");
        cr_assert(simulation.node(name).lastPosition().index < host.state.index + 60);
    }
    simulation.runUntilLeader();
    simulation.run(seconds{1});
    cr_assert_eq(simulation.host("c2").state.hash, before);
}

// Guards against a host that can never catch up once the leader has compacted its log. Seed 9.
Test(replication, slowFollowerGetsASnapshot)
{
    RaftSettings settings;
    settings.snapshotEntries = 20;
    RaftSimulation simulation{9, settings};
    addInitialVoters(simulation);
    const auto leader = simulation.runUntilLeader();
    const auto slow = followersOf(leader).front();
    simulation.isolate(slow);
    proposeMany(simulation, 200);
    simulation.heal();
    simulation.run(seconds{2});
    cr_assert(simulation.counts["snapshot installed"] >= 1);
    cr_assert(simulation.host(slow).state.encode() == simulation.host(leader).state.encode());
}

// Guards against lost commits when a host that loses its data had the only other copy. Seeds 1
// to 20.
Test(replication, lostDataFolderElectsNoLeaderWithoutTheEntry)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RaftSimulation simulation{seed, {}};
        addInitialVoters(simulation);
        const auto leader = simulation.runUntilLeader();
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
        const auto next = simulation.runUntilLeader();
        simulation.run(seconds{5});
        cr_assert_not(simulation.node(lost).recovering());
        cr_assert(simulation.host(lost).state.encode() == simulation.host(next).state.encode());
    }
}

// Guards against a second group: a host that has lost its data must not form one with a host that
// was never part of the first. Seed 13.
Test(replication, groupIsFormedOnlyByAllVotersTogether)
{
    RaftSimulation simulation{13, {}};
    simulation.add("c1", initialVoters);
    simulation.add("c2", initialVoters);
    simulation.run(seconds{20});
    cr_assert_eq(simulation.history.terms(), 0);
    simulation.add("c3", initialVoters);
    simulation.runUntilLeader();
    simulation.run(seconds{5});

    for (const auto &name : initialVoters) {
        simulation.crash(name);
    }
    simulation.loseData("c1");
    simulation.start("c1");
    simulation.start("c2");
    const auto terms = simulation.history.terms();
    simulation.run(seconds{20});
    cr_assert_eq(simulation.history.terms(), terms, "c3 may hold entries that c2 lacks");
    simulation.start("c3");
    simulation.runUntilLeader();
    simulation.run(seconds{5});
    cr_assert_not(simulation.node("c1").recovering());
}

// Guards against a host without data that is never readmitted. Seed 12.
Test(replication, readmittedHostCountsTowardsTheMajority)
{
    RaftSimulation simulation{12, {}};
    addInitialVoters(simulation);
    const auto leader = simulation.runUntilLeader();
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

// Guards against a log of few large entries that fills memory and disk because only their number
// leads to a snapshot. Seed 21.
Test(replication, largeEntriesLeadToASnapshot)
{
    RaftSimulation simulation{21, smallByteLimits()};
    addInitialVoters(simulation);
    for (int i = 0; i < 10; ++i) {
        proposeLarge(simulation, 10);
        for (const auto &name : initialVoters) {
            cr_assert_leq(diskBytes(simulation, name), 6 * largeBytes);
        }
    }
    simulation.run(seconds{1});
    for (const auto &name : initialVoters) {
        const auto state = simulation.host(name).storage->load().value();
        cr_assert(state.snapshot.has_value());
        cr_assert_lt(state.entries.size(), 5);
    }
}

// Guards against sending all large entries in one message, which takes seconds on a slow link and
// may exceed the maximum frame size. Seed 22.
Test(replication, messagesAreBoundedByBytes)
{
    auto settings = smallByteLimits();
    settings.snapshotBytes = 100 * largeBytes;
    RaftSimulation simulation{22, settings};
    addInitialVoters(simulation);
    const auto slow = followersOf(simulation.runUntilLeader()).front();
    simulation.isolate(slow);
    proposeLarge(simulation, 20);
    simulation.heal();
    simulation.run(seconds{2});
    cr_assert(simulation.node(slow).commitIndex() >= 20);
    cr_assert_leq(simulation.largestAppend, settings.appendBytes);
}

// Guards against a leader that queues all large entries for a follower that does not respond.
// Seed 23.
Test(replication, deadFollowerIsSentABoundedNumberOfBytes)
{
    auto settings = smallByteLimits();
    settings.snapshotBytes = 100 * largeBytes;
    RaftSimulation simulation{23, settings};
    addInitialVoters(simulation);
    const auto dead = followersOf(simulation.runUntilLeader()).front();
    simulation.isolate(dead);
    const auto before = simulation.entryBytesTo[dead];
    proposeLarge(simulation, 30);
    cr_assert_leq(simulation.entryBytesTo[dead] - before, settings.appendBytes + 2 * largeBytes);
}

// Guards against a leader that sends missing entries again for each pending rejection: on a link
// with a long delay many requests are rejected for the same reason. Seed 24.
Test(replication, missingEntriesAreSentOnceAfterSeveralRejections)
{
    auto settings = smallByteLimits();
    settings.snapshotBytes = 100 * largeBytes;
    settings.appendBytes = 10 * largeBytes;
    settings.electionTimeoutMin = seconds{2};
    settings.electionTimeoutMax = seconds{4};
    RaftSimulation simulation{24, settings};
    addInitialVoters(simulation);
    const auto behind = followersOf(simulation.runUntilLeader()).front();
    simulation.isolate(behind);
    proposeLarge(simulation, 5);
    const auto before = simulation.entryBytesTo[behind];
    simulation.faults.delayMin = milliseconds{350};
    simulation.faults.delayMax = milliseconds{360};
    simulation.heal();
    simulation.run(seconds{4});
    cr_assert(simulation.node(behind).lastPosition().index
              == simulation.node(simulation.runUntilLeader()).lastPosition().index);
    cr_assert_leq(simulation.entryBytesTo[behind] - before, 6 * (largeBytes + 10));
}

// Guards against a leader without a majority whose log grows with each proposal. Seed 25.
Test(replication, commandsAreRefusedWhileTooMuchIsNotCommitted)
{
    RaftSimulation simulation{25, smallByteLimits()};
    addInitialVoters(simulation);
    const auto leader = simulation.runUntilLeader();
    simulation.isolate(leader);
    for (int i = 0; i < 20; ++i) {
        simulation.propose(leader, std::string(largeBytes, 'x'));
    }
    cr_assert_eq(simulation.rejected.size(), 17);
    cr_assert(simulation.rejected.back().error.kind == ErrorKind::Refused);
    cr_assert_leq(diskBytes(simulation, leader), 5 * largeBytes);
}

namespace {

// Limits under which a snapshot of the simulated state consists of several parts.
RaftSettings smallParts()
{
    RaftSettings settings;
    settings.snapshotEntries = 20;
    settings.appendBytes = 5;
    return settings;
}

} // namespace

// Guards against a snapshot that stays incomplete or is assembled wrongly after parts of it were
// lost, duplicated or reordered. Seeds 31 to 50.
Test(replication, snapshotWithLostParts)
{
    for (std::uint64_t seed = 31; seed <= 50; ++seed) {
        RaftSimulation simulation{seed, smallParts()};
        addInitialVoters(simulation);
        const auto slow = followersOf(simulation.runUntilLeader()).front();
        simulation.isolate(slow);
        proposeMany(simulation, 100);
        simulation.heal();
        simulation.faults = {20, 20, milliseconds{1}, milliseconds{30}};
        simulation.run(seconds{10});
        simulation.faults = {};
        const auto leader = simulation.runUntilLeader();
        simulation.run(seconds{3});
        cr_assert(simulation.counts["snapshot installed"] >= 1);
        cr_assert(simulation.counts["snapshot part sent"] >= 4);
        cr_assert(simulation.host(slow).state.encode() == simulation.host(leader).state.encode(),
                  "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Guards against combining parts of two snapshots, and against a transfer that restarts with each
// newer snapshot and never completes. Seeds 51 to 60.
Test(replication, newerSnapshotInTheMiddle)
{
    for (std::uint64_t seed = 51; seed <= 60; ++seed) {
        RaftSimulation simulation{seed, smallParts()};
        addInitialVoters(simulation);
        const auto leader = simulation.runUntilLeader();
        const auto slow = followersOf(leader).front();
        simulation.isolate(slow);
        proposeMany(simulation, 100);
        simulation.heal();
        const auto before = simulation.node(slow).commitIndex();
        for (int i = 0; i < 500; ++i) {
            simulation.propose(simulation.runUntilLeader(), "more-" + std::to_string(i));
            simulation.run(milliseconds{2});
        }
        cr_assert(simulation.counts["snapshot installed"] >= 1, "while snapshots are taken");
        cr_assert(simulation.node(slow).commitIndex() > before);
        // These limits allow one entry in flight at a time, so 500 take about 5 s.
        simulation.run(seconds{10});
        cr_assert(simulation.host(slow).state.encode()
                  == simulation.host(simulation.runUntilLeader()).state.encode());
    }
}

// Guards against combining parts from two leaders, and against sending only the remaining parts to
// a follower that has crashed. Seeds 61 to 80.
Test(replication, snapshotAcrossCrashes)
{
    for (std::uint64_t seed = 61; seed <= 80; ++seed) {
        RaftSimulation simulation{seed, smallParts()};
        addInitialVoters(simulation);
        const auto leader = simulation.runUntilLeader();
        const auto slow = followersOf(leader).front();
        simulation.isolate(slow);
        proposeMany(simulation, 100);
        simulation.heal();
        simulation.run(milliseconds{100 + 2 * static_cast<int>(seed - 61)});
        const auto victim = seed % 2 == 0 ? slow : leader;
        simulation.crash(victim);
        simulation.run(milliseconds{50});
        simulation.start(victim);
        simulation.run(seconds{5});
        const auto next = simulation.runUntilLeader();
        simulation.run(seconds{1});
        cr_assert(simulation.host(slow).state.encode() == simulation.host(next).state.encode(),
                  "seed %lu", static_cast<unsigned long>(seed));
    }
}
