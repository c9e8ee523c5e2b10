#include "consensus_run.hpp"

#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>

#include "../support/raft_simulation.hpp"

namespace hyssoprock::random_runs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RaftSimulation;

constexpr int roundsPerSeed = 300;

RaftSettings settingsOf(RandomSource &random)
{
    RaftSettings settings;
    settings.snapshotEntries = 10 + random.below(40);
    settings.appendBatch = 1 + random.below(8);
    if (random.chance(50)) {
        // A wide drift bound and short random delays make elections come close to a lease's end.
        settings.clockDriftPerMille = 100;
        settings.electionTimeoutMax = settings.electionTimeoutMin + milliseconds{40};
    }
    return settings;
}

/// Draws the limits by bytes apart, so that a seed's other choices stay as they were.
RaftSettings withByteLimits(RaftSettings settings, std::uint64_t seed)
{
    RandomSource random{seed ^ 0xb17e5ULL};
    settings.snapshotBytes = 1024 + random.below(4096);
    settings.appendBytes = 1 + random.below(512);
    return settings;
}

/// @brief Brings faults about at random and lets the group recover at the end.
class ConsensusRun
{
public:
    explicit ConsensusRun(std::uint64_t seed)
        : plan_{seed ^ 0x5eedULL}
        , settings_{settingsOf(plan_)}
        , simulation_{seed, withByteLimits(settings_, seed)}
    {
        const std::vector<std::string> founders{"c1", "c2", "c3"};
        for (const auto &name : founders) {
            simulation_.add(name, founders, drift());
        }
    }

    RunReport run()
    {
        simulation_.run(seconds{3});
        simulation_.add("c4", {"c1", "c2", "c3", "c4"}, drift());
        simulation_.add("c5", {"c1", "c2", "c3", "c5"}, drift());
        for (int round = 0; round < roundsPerSeed; ++round) {
            disturb();
            proposeSome();
            simulation_.run(plan_.between(milliseconds{1}, milliseconds{400}));
        }
        recover();
        return report();
    }

private:
    /// Anything within the bound, often at its edge.
    std::int64_t drift()
    {
        const auto bound = static_cast<std::int64_t>(settings_.clockDriftPerMille);
        if (plan_.chance(50)) {
            return plan_.chance(50) ? bound : -bound;
        }
        return static_cast<std::int64_t>(plan_.below(settings_.clockDriftPerMille * 2 + 1)) - bound;
    }

    std::string anyHost()
    {
        auto host = simulation_.hosts().begin();
        std::advance(host, static_cast<std::ptrdiff_t>(plan_.below(simulation_.hosts().size())));
        return host->first;
    }

    /// @brief The host that leads or believes so, to aim faults at it.
    std::string leaderOrAny()
    {
        for (auto &[name, host] : simulation_.hosts()) {
            if (host.node && host.node->role() == RaftRole::Leader) {
                return name;
            }
        }
        return anyHost();
    }

    void disturb()
    {
        const auto host = plan_.chance(40) ? leaderOrAny() : anyHost();
        switch (plan_.below(20)) {
        case 0:
            simulation_.isolate(host);
            ++report_.faults["partition"];
            break;
        case 1:
            simulation_.cut(host, anyHost());
            ++report_.faults["one-way partition"];
            break;
        case 2:
        case 3:
        case 4:
            simulation_.heal();
            break;
        case 5:
            simulation_.crash(host);
            ++report_.faults["crash"];
            break;
        case 6:
            simulation_.host(host).crashAfterActions = plan_.below(6);
            break;
        case 7:
            simulation_.host(host).files.failAfterOperations(plan_.below(12));
            ++report_.faults["crash inside a storage operation"];
            break;
        case 8:
            restartAll();
            break;
        case 9:
            simulation_.host(host).files.setCapacity(plan_.below(4000));
            ++report_.faults["full disk"];
            break;
        case 10:
            clearDisks();
            break;
        case 11:
            changeNetwork();
            break;
        case 12:
            loseData(host);
            break;
        case 13:
            changeVoters();
            break;
        case 14:
            simulation_.deliver(leaderOrAny(), raft::TransferLeadership{});
            ++report_.events["transfer of leadership asked for"];
            break;
        case 15:
            clearDisks();
            restartAll();
            break;
        default:
            break;
        }
    }

    void restartAll()
    {
        for (auto &[name, host] : simulation_.hosts()) {
            if (!host.node && !host.reopenAt) {
                simulation_.start(name);
            }
        }
    }

    void clearDisks()
    {
        for (auto &[name, host] : simulation_.hosts()) {
            host.files.setCapacity(std::numeric_limits<std::uint64_t>::max());
            if (!host.node && host.reopenAt) {
                // A storage operation that the process did not survive.
                simulation_.crash(name);
                simulation_.start(name);
            }
        }
    }

    void changeNetwork()
    {
        simulation_.faults.lossPercent = plan_.chance(50) ? 0 : plan_.below(30);
        simulation_.faults.duplicatePercent = plan_.below(30);
        simulation_.faults.delayMax = plan_.between(milliseconds{2}, milliseconds{80});
        ++report_.faults["network change"];
    }

    /// Two losses at the same time would lose committed entries in any protocol.
    void loseData(const std::string &lost)
    {
        const auto formed = !simulation_.history.committed().empty();
        auto intact = true;
        for (auto &[name, host] : simulation_.hosts()) {
            if (name == lost || name == "c4" || name == "c5") {
                continue;
            }
            intact = intact && host.node && !host.node->recovering() && host.node->term() > 0;
        }
        for (const auto *name : {"c4", "c5"}) {
            auto &host = simulation_.host(name);
            intact = intact && host.node && !host.node->recovering();
            intact = intact && (host.node->term() > 0 || !lostBefore_.contains(name));
        }
        if (formed && intact) {
            simulation_.loseData(lost);
            simulation_.start(lost);
            lostBefore_.insert(lost);
            ++report_.faults["lost data folder"];
        }
    }

    void changeVoters()
    {
        const auto host = anyHost();
        const auto leader = leaderOrAny();
        if (!simulation_.isUp(leader)) {
            return;
        }
        const auto &voters = simulation_.node(leader).voters();
        const auto add = std::find(voters.begin(), voters.end(), host) == voters.end();
        if (add || voters.size() > 3) {
            simulation_.deliver(leader, raft::ProposeVoterChange{++proposals_, host, add});
            ++report_.events["voter change proposed"];
        }
    }

    void proposeSome()
    {
        for (auto count = plan_.below(6); count > 0; --count) {
            simulation_.propose(leaderOrAny(), "command-" + std::to_string(++proposals_));
        }
    }

    /// All faults end: the group must elect a leader, commit, and agree everywhere.
    void recover()
    {
        simulation_.heal();
        simulation_.faults = {};
        clearDisks();
        for (auto &[name, host] : simulation_.hosts()) {
            simulation_.crash(name);
            simulation_.start(name);
        }
        const auto leader = simulation_.runUntilLeader();
        simulation_.propose(leader, "last");
        simulation_.run(seconds{5});
        const auto last = simulation_.runUntilLeader();
        check(simulation_.history.hasCommitted("last"), "a recovered group commits");
        const auto &state = simulation_.host(last).state;
        for (const auto &voter : simulation_.node(last).voters()) {
            check(simulation_.isUp(voter), "every voter runs after the faults have ended");
            check(!simulation_.node(voter).recovering(), "a host that lost its data is readmitted");
            check(simulation_.host(voter).state.encode() == state.encode(),
                  "all voters reach the same state");
        }
    }

    RunReport report()
    {
        report_.steps = simulation_.events;
        for (const auto *fault : {"message lost", "message duplicated", "message cut off",
                                  "storage error", "crash inside a batch"}) {
            report_.faults[fault] += simulation_.counts[fault];
        }
        for (const auto *event :
             {"leader elected", "snapshot taken", "snapshot installed", "log truncated"}) {
            report_.events[event] += simulation_.counts[event];
        }
        report_.events["entry committed"] += simulation_.history.committed().size();
        for (const auto &[index, entry] : simulation_.history.committed()) {
            report_.events["voter change committed"] += entry.kind == LogEntryKind::Voters ? 1 : 0;
        }
        return report_;
    }

    RandomSource plan_;
    RaftSettings settings_;
    RaftSimulation simulation_;
    RunReport report_;
    std::set<std::string> lostBefore_;
    std::uint64_t proposals_ = 0;
};

} // namespace

RunReport runConsensus(std::uint64_t seed)
{
    return ConsensusRun{seed}.run();
}

} // namespace hyssoprock::random_runs
