#include "group_run.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/controlgroup/group_membership.hpp>
#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/control_state.hpp>
#include <hyssoprock/message/codec.hpp>

#include "../support/raft_simulation.hpp"

namespace hyssoprock::random_runs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RaftSimulation;

constexpr Duration tickInterval = milliseconds{100};
constexpr std::uint32_t failuresTolerated = 1;

/// @brief Three control hosts, one replacement at a new address, one lost disk with a power loss
/// of all others, and documents put all the time.
class GroupRun
{
public:
    explicit GroupRun(std::uint64_t seed)
        : plan_{seed ^ 0x6e0abULL}
        , settings_{settingsOf(plan_)}
        , simulation_{seed, settings_}
    {
        simulation_.faults.lossPercent = plan_.below(6);
        simulation_.faults.duplicatePercent = plan_.below(6);
        for (const auto &name : seeds_) {
            startHost(name, true);
        }
    }

    RunReport run()
    {
        pass(seconds{5});
        check(acknowledged_ > 0, "a new group acknowledges a document");
        for (const auto round : shuffledRounds()) {
            (this->*round)();
            settle();
        }
        return report();
    }

private:
    using Round = void (GroupRun::*)();

    static RaftSettings settingsOf(RandomSource &random)
    {
        RaftSettings settings;
        settings.snapshotEntries = 10 + random.below(40);
        settings.appendBatch = 1 + random.below(8);
        return settings;
    }

    std::vector<Round> shuffledRounds()
    {
        std::vector<Round> rounds{&GroupRun::replace, &GroupRun::loseDiskAndPower,
                                  &GroupRun::cutOff, &GroupRun::loseDiskAndPower,
                                  &GroupRun::replace};
        for (std::size_t i = rounds.size(); i > 1; --i) {
            std::swap(rounds[i - 1], rounds[plan_.below(i)]);
        }
        return rounds;
    }

    void startHost(const std::string &name, bool bootstrap)
    {
        GroupMembershipSettings settings{name, seeds_, bootstrap, failuresTolerated};
        auto voters = initialVoters(settings);
        memberships_.insert_or_assign(name, GroupMembership{std::move(settings)});
        leaderSeen_.erase(name);
        if (!simulation_.hosts().contains(name)) {
            simulation_.add(name, std::move(voters));
            running_.push_back(name);
            return;
        }
        // Only the log of a restarted host names voters.
        simulation_.host(name).initialVoters = std::move(voters);
        simulation_.start(name);
    }

    std::string anyRunning() { return running_[plan_.below(running_.size())]; }

    /// One host dies for good, and an empty one starts at a new address.
    void replace()
    {
        const auto lost = anyRunning();
        simulation_.loseData(lost);
        simulation_.isolate(lost);
        std::erase(running_, lost);
        ++report_.faults["host replaced"];
        pass(plan_.between(milliseconds{0}, seconds{4}));
        startHost("n" + std::to_string(++replacements_), false);
    }

    /// One host loses its disk while all others lose power; all start again at their addresses.
    void loseDiskAndPower()
    {
        const auto lost = anyRunning();
        for (const auto &name : running_) {
            name == lost ? simulation_.loseData(name) : simulation_.crash(name);
        }
        ++report_.faults["lost disk and power loss"];
        auto order = running_;
        for (std::size_t i = order.size(); i > 1; --i) {
            std::swap(order[i - 1], order[plan_.below(i)]);
        }
        for (const auto &name : order) {
            pass(plan_.between(milliseconds{0}, seconds{2}));
            startHost(name, false);
        }
    }

    void cutOff()
    {
        const auto name = anyRunning();
        for (const auto &other : running_) {
            simulation_.cut(name, other);
            simulation_.cut(other, name);
            cut_[name] = true;
        }
        ++report_.faults["host cut off"];
        pass(plan_.between(seconds{1}, seconds{5}));
        simulation_.heal();
        cut_.clear();
    }

    /// After each round every running host must be a voter again, and nothing else.
    void settle()
    {
        const auto begin = simulation_.now();
        const auto before = acknowledged_;
        const auto end = begin + seconds{30};
        auto expected = running_;
        std::sort(expected.begin(), expected.end());
        while (simulation_.now() < end) {
            pass(milliseconds{100});
            const auto leader = simulation_.leader();
            // The voters must be in the log of every host: with a removal that is not committed
            // yet, a dead host and a lost disk at the same time are more than the group tolerates.
            if (leader && acknowledged_ > before
                && std::all_of(running_.begin(), running_.end(), [&](const auto &name) {
                       return !simulation_.node(name).recovering()
                              && simulation_.node(name).voters() == expected;
                   })) {
                report_.samples["settled after ms"].push_back(
                    static_cast<std::uint64_t>(toMilliseconds(simulation_.now() - begin)));
                // A quiet group keeps its leader: removed hosts and spares do not disturb it.
                const auto term = simulation_.node(*leader).term();
                if (simulation_.faults.lossPercent == 0) {
                    pass(seconds{3});
                    check(simulation_.node(*leader).term() == term,
                          "a settled group keeps its term");
                }
                return;
            }
        }
        check(false, "the running hosts become the voters");
    }

    void pass(Duration length)
    {
        const auto end = simulation_.now() + length;
        do {
            simulation_.run(std::min(tickInterval, end - simulation_.now()));
            noteLeaderContact();
            for (const auto &name : running_) {
                if (simulation_.isUp(name)) {
                    tick(name);
                }
            }
            putAndRead();
        } while (simulation_.now() < end);
    }

    /// Contact is taken from a known leader, as the shell does.
    void noteLeaderContact()
    {
        for (const auto &name : running_) {
            if (simulation_.isUp(name) && !simulation_.node(name).leader().empty()) {
                leaderSeen_[name] = simulation_.localNow(simulation_.host(name));
            }
        }
    }

    void tick(const std::string &name)
    {
        auto &host = simulation_.host(name);
        const auto now = simulation_.localNow(host);
        auto &membership = memberships_.at(name);
        ControlGroupStatus view;
        view.leading = host.node->leaseValid(now) && host.node->leaderReady();
        view.term = host.node->term();
        view.leader = host.node->leader();
        if (const auto seen = leaderSeen_.find(name); seen != leaderSeen_.end()) {
            view.leaderSeenAt = seen->second;
        }
        view.voters = host.node->voterStatus();
        if (!view.leading && changes_.erase(name) > 0) {
            membership.handleChangeResult(false);
        }
        finishChange(name);
        const auto actions = membership.tick(view, now);
        for (const auto &to : actions.joinRequestTargets) {
            ask(name, to);
        }
        if (actions.cancelJoin) {
            simulation_.deliver(name, raft::CancelJoin{});
        }
        if (actions.voterToAdd || actions.voterToRemove) {
            changes_[name] = ++proposals_ + changeBase;
            simulation_.deliver(name, raft::ProposeVoterChange{changes_[name],
                                                               actions.voterToAdd
                                                                   ? *actions.voterToAdd
                                                                   : *actions.voterToRemove,
                                                               actions.voterToAdd.has_value()});
            ++report_.events[actions.voterToAdd ? "voter addition" : "voter removal"];
        }
    }

    void finishChange(const std::string &name)
    {
        const auto change = changes_.find(name);
        if (change == changes_.end()) {
            return;
        }
        for (const auto &rejected : simulation_.rejected) {
            if (rejected.proposal == change->second) {
                changes_.erase(change);
                memberships_.at(name).handleChangeResult(false);
                return;
            }
        }
        for (const auto &appended : simulation_.appended) {
            if (appended.proposal == change->second
                && simulation_.host(name).state.index >= appended.position.index) {
                changes_.erase(change);
                memberships_.at(name).handleChangeResult(committed(appended.position));
                return;
            }
        }
    }

    [[nodiscard]] bool committed(const LogPosition &position) const
    {
        const auto found = simulation_.history.committed().find(position.index);
        return found != simulation_.history.committed().end() && found->second.position == position;
    }

    [[nodiscard]] bool reaches(const std::string &from, const std::string &to)
    {
        return simulation_.hosts().contains(to) && simulation_.isUp(to) && !cut_.contains(from)
               && !cut_.contains(to)
               && std::find(running_.begin(), running_.end(), to) != running_.end();
    }

    void ask(const std::string &from, const std::string &to)
    {
        if (!reaches(from, to) || plan_.chance(simulation_.faults.lossPercent)) {
            return;
        }
        ++report_.events["join request"];
        auto &host = simulation_.host(to);
        const auto forward = memberships_.at(to).handle(
            JoinRequest{from}, from, host.node->leader(), simulation_.localNow(host));
        if (forward && reaches(to, *forward)) {
            auto &leader = simulation_.host(*forward);
            const auto further = memberships_.at(*forward).handle(
                JoinRequest{from}, to, leader.node->leader(), simulation_.localNow(leader));
            check(!further, "a request is forwarded once");
        }
    }

    [[nodiscard]] ControlState stateAt(std::uint64_t index) const
    {
        ControlState state;
        for (const auto &[at, entry] : simulation_.history.committed()) {
            if (at <= index && entry.kind == LogEntryKind::Command) {
                state.apply(decode<ControlCommand>(entry.payload).value());
            }
        }
        return state;
    }

    /// Any host that believes it leads takes documents; only one with a valid lease answers reads.
    void putAndRead()
    {
        for (const auto &name : running_) {
            if (!simulation_.isUp(name)) {
                continue;
            }
            auto &host = simulation_.host(name);
            acknowledge(host);
            if (simulation_.leader() == name) {
                const auto version = stateAt(host.state.index).version();
                check(version >= acknowledged_, "a read shows every acknowledged document");
                check(version >= read_, "reads never go back");
                read_ = version;
                ++report_.events["read"];
            }
            if (simulation_.isUp(name) && host.node->role() == RaftRole::Leader) {
                const auto version = ++versions_;
                puts_.push_back({name, ++proposals_ + changeBase, version});
                simulation_.deliver(
                    name, raft::Propose{proposals_ + changeBase,
                                        encode(ControlCommand{PutDocument{
                                            version, "document " + std::to_string(version)}})});
            }
        }
    }

    void acknowledge(const RaftSimulation::Host &host)
    {
        std::erase_if(puts_, [&](const Put &put) {
            if (put.host != host.name) {
                return false;
            }
            const auto found = std::find_if(
                simulation_.appended.begin(), simulation_.appended.end(),
                [&](const auto &appended) { return appended.proposal == put.proposal; });
            if (found == simulation_.appended.end()) {
                return true;
            }
            if (host.state.index < found->position.index) {
                return false;
            }
            if (committed(found->position)) {
                acknowledged_ = std::max(acknowledged_, put.version);
                ++report_.events["document acknowledged"];
            }
            return true;
        });
    }

    RunReport report()
    {
        report_.steps = simulation_.events;
        for (const auto *event : {"leader elected", "snapshot taken", "snapshot installed"}) {
            report_.events[event] += simulation_.counts[event];
        }
        return report_;
    }

    struct Put
    {
        std::string host;
        std::uint64_t proposal;
        std::uint64_t version;
    };

    // Apart from the numbers that RaftSimulation gives to its own proposals.
    static constexpr std::uint64_t changeBase = 1000000;

    RandomSource plan_;
    RaftSettings settings_;
    RaftSimulation simulation_;
    RunReport report_{};
    const std::vector<std::string> seeds_{"c1", "c2", "c3"};
    std::vector<std::string> running_{};
    std::map<std::string, GroupMembership> memberships_{};
    std::map<std::string, Instant> leaderSeen_{};
    std::map<std::string, std::uint64_t> changes_{};
    std::map<std::string, bool> cut_{};
    std::vector<Put> puts_{};
    std::uint64_t proposals_ = 0;
    std::uint64_t versions_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t read_ = 0;
    std::uint64_t replacements_ = 0;
};

} // namespace

RunReport runGroup(std::uint64_t seed)
{
    return GroupRun{seed}.run();
}

} // namespace hyssoprock::random_runs
