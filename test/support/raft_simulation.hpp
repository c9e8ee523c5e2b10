#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/storage/raft_storage.hpp>

#include "event_digest.hpp"
#include "memory_file_system.hpp"
#include "raft_history.hpp"

/// @file
/// @brief Simulation of a Raft group with simulated time, network and disks.

namespace hyssoprock::test {

/// @brief Faults and delays that the simulated network applies to a message.
struct NetworkFaults
{
    std::uint64_t lossPercent = 0;
    std::uint64_t duplicatePercent = 0;
    Duration delayMin = std::chrono::milliseconds{1};
    Duration delayMax = std::chrono::milliseconds{8};
};

/// @brief Runs RaftNode and RaftStorage for several hosts and checks the history after each event.
class RaftSimulation
{
public:
    struct Host
    {
        std::string name;
        std::vector<std::string> initialVoters;
        bool founder = false;
        MemoryFileSystem files;
        std::unique_ptr<RaftStorage> storage;
        std::unique_ptr<RaftNode> node;
        HashState state;
        std::map<std::uint64_t, std::uint64_t> logTerms; ///< Term by index, as persisted.
        std::int64_t driftPerMille = 0;
        std::int64_t offset = 0;                        ///< Microseconds.
        std::optional<std::uint64_t> crashAfterActions; ///< Crashes after this many more actions.
        std::optional<Duration> reopenAt;               ///< Restart after a storage error.
        Duration frozenUntil{};                         ///< Processes no events before.
        std::vector<LogEntry> restored;                 ///< Log at the last start.
        std::uint64_t storageErrors = 0;
    };

    RaftSimulation(std::uint64_t seed, RaftSettings settings)
        : random{seed}
        , settings_{std::move(settings)}
    {}

    RandomSource random;
    NetworkFaults faults;
    RaftHistory history;
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t events = 0;

    Host &add(const std::string &name, std::vector<std::string> initialVoters,
              std::int64_t driftPerMille = 0)
    {
        auto &host = hosts_[name];
        host.name = name;
        host.initialVoters = std::move(initialVoters);
        host.driftPerMille = driftPerMille;
        host.offset = static_cast<std::int64_t>(random.below(1000000000));
        start(name);
        return host;
    }

    [[nodiscard]] Host &host(const std::string &name) { return hosts_.at(name); }
    [[nodiscard]] RaftNode &node(const std::string &name) { return *hosts_.at(name).node; }
    [[nodiscard]] std::map<std::string, Host> &hosts() { return hosts_; }
    [[nodiscard]] Duration now() const { return now_; }
    [[nodiscard]] bool isUp(const std::string &name) { return hosts_.at(name).node != nullptr; }

    [[nodiscard]] Instant localNow(const Host &host) const
    {
        return Instant{Duration{host.offset + now_.count() * (1000 + host.driftPerMille) / 1000}};
    }

    /// @brief Adds a host that is told at its first start that it is an initial voter. After the
    /// loss of its data it no longer knows that.
    Host &addFounder(const std::string &name, std::vector<std::string> initialVoters)
    {
        auto &host = add(name, std::move(initialVoters));
        host.founder = true;
        host.node.reset();
        host.storage.reset();
        start(name);
        return host;
    }

    /// @brief Starts a host from its files.
    void start(const std::string &name)
    {
        auto &host = hosts_.at(name);
        host.reopenAt.reset();
        if (!host.storage) {
            host.storage = std::make_unique<RaftStorage>(host.files, "raft", segmentBytes);
        }
        auto loaded = host.storage->load();
        if (loaded.has_error()) {
            handleStorageError(host);
            return;
        }
        const auto &state = loaded.value();
        host.state = state.snapshot ? HashState::decode(state.snapshot->state) : HashState{};
        host.logTerms.clear();
        if (state.snapshot) {
            host.logTerms[state.snapshot->last.index] = state.snapshot->last.term;
        }
        for (const auto &entry : state.entries) {
            host.logTerms[entry.position.index] = entry.position.term;
        }
        host.restored = state.entries;
        host.node = std::make_unique<RaftNode>(RaftIdentity{name, host.initialVoters, host.founder},
                                               settings_, state, random.next(), localNow(host));
    }

    /// @brief Crashes a host; unsynced data is lost.
    void crash(const std::string &name)
    {
        auto &host = hosts_.at(name);
        host.node.reset();
        host.storage.reset();
        host.crashAfterActions.reset();
        host.reopenAt.reset();
        host.files.crash(&random);
    }

    /// @brief Crashes a host and removes all its data.
    void loseData(const std::string &name)
    {
        crash(name);
        auto &host = hosts_.at(name);
        host.files.wipe();
        if (std::exchange(host.founder, false)) {
            host.initialVoters.clear();
        }
    }

    void cut(const std::string &from, const std::string &to) { cuts_.emplace(from, to); }

    /// @brief Silently drops all messages from and to a host.
    void isolate(const std::string &name)
    {
        for (const auto &[other, host] : hosts_) {
            cut(name, other);
            cut(other, name);
        }
    }

    void heal() { cuts_.clear(); }

    void deliver(const std::string &name, const RaftEvent &event)
    {
        auto &host = hosts_.at(name);
        if (!host.node) {
            return;
        }
        ++events;
        const auto wasLeader = host.node->role() == RaftRole::Leader;
        const auto actions = host.node->handle(event, localNow(host));
        eventDigest().record(name, now_, event.index(), actions.size(), host.node->term());
        execute(host, actions);
        if (host.node && host.node->snapshotDue()) {
            ++counts["snapshot taken"];
            execute(host, host.node->handle(
                              raft::SnapshotTaken{host.node->lastApplied(), host.state.encode()},
                              localNow(host)));
        }
        if (host.node && host.node->role() == RaftRole::Leader) {
            history.recordLeader(host.node->term(), name);
            if (!wasLeader) {
                ++counts["leader elected"];
                checkComplete(host);
            }
        }
        checkLeases();
    }

    /// @brief Advances the simulation by a duration.
    void run(Duration length)
    {
        const auto end = now_ + length;
        while (step(end)) {}
        now_ = end;
    }

    /// @brief Host with a valid leader lease that has committed an entry of its term; std::nullopt
    /// if none.
    [[nodiscard]] std::optional<std::string> leader()
    {
        for (auto &[name, host] : hosts_) {
            if (host.node && host.node->leaseValid(localNow(host)) && host.node->leaderReady()) {
                return name;
            }
        }
        return std::nullopt;
    }

    /// @brief Runs until a leader with a valid lease has committed an entry of its term.
    std::string runUntilLeader(Duration limit = std::chrono::seconds{20})
    {
        const auto end = now_ + limit;
        while (now_ < end) {
            if (auto found = leader()) {
                return *found;
            }
            run(std::chrono::milliseconds{10});
        }
        check(false, "a leader is elected in time");
        return {};
    }

    void propose(const std::string &name, const std::string &command)
    {
        deliver(name, raft::Propose{++proposals_, command});
    }

    std::vector<raft::ProposalRejected> rejected;
    std::vector<raft::ProposalAppended> appended;
    std::map<std::string, std::uint64_t> entryBytesTo; ///< Payload bytes sent to each host.
    std::uint64_t largestAppend = 0;                   ///< Payload bytes of the largest message.

private:
    static constexpr std::uint64_t segmentBytes = 2000;

    struct InFlight
    {
        std::string to;
        RaftMessage message;
    };

    bool step(Duration end)
    {
        auto next = end;
        if (!network_.empty()) {
            next = std::min(next, network_.begin()->first.first);
        }
        for (const auto &[name, host] : hosts_) {
            if (host.node) {
                next = std::min(next, std::max({now_, host.frozenUntil,
                                                realTime(host, *host.node->nextDeadline())}));
            } else if (host.reopenAt) {
                next = std::min(next, *host.reopenAt);
            }
        }
        if (next >= end) {
            return false;
        }
        now_ = next;
        if (!network_.empty() && network_.begin()->first.first <= now_) {
            const auto received = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            if (const auto resumeAt = hosts_.at(received.to).frozenUntil; resumeAt > now_) {
                network_.emplace(std::pair{resumeAt, ++order_}, received);
                return true;
            }
            deliver(received.to, raft::MessageReceived{received.message});
            return true;
        }
        for (auto &[name, host] : hosts_) {
            if (host.node && host.frozenUntil <= now_
                && *host.node->nextDeadline() <= localNow(host)) {
                deliver(name, raft::Tick{});
            } else if (!host.node && host.reopenAt && *host.reopenAt <= now_) {
                start(name);
            }
        }
        return true;
    }

    [[nodiscard]] static Duration realTime(const Host &host, Instant local)
    {
        const auto elapsed = local.time_since_epoch().count() - host.offset;
        return Duration{elapsed * 1000 / (1000 + host.driftPerMille) + 1};
    }

    void execute(Host &host, const RaftActions &actions)
    {
        for (const auto &action : actions) {
            if (host.crashAfterActions && (*host.crashAfterActions)-- == 0) {
                ++counts["crash inside a batch"];
                crash(host.name);
                return;
            }
            if (!std::visit([&](const auto &known) { return executeAction(host, known); },
                            action)) {
                handleStorageError(host);
                return;
            }
        }
    }

    bool executeAction(Host &host, const raft::Persist &action)
    {
        if (host.storage->execute(action).has_error()) {
            return false;
        }
        if (action.truncateFrom) {
            ++counts["log truncated"];
            host.logTerms.erase(host.logTerms.lower_bound(*action.truncateFrom),
                                host.logTerms.end());
        }
        for (const auto &entry : action.entries) {
            const auto previous = host.logTerms.find(entry.position.index - 1);
            if (previous != host.logTerms.end() || entry.position.index == 1) {
                history.recordAppended(entry, entry.position.index == 1 ? 0 : previous->second);
            }
            host.logTerms[entry.position.index] = entry.position.term;
        }
        return true;
    }

    bool executeAction(Host &host, const raft::SaveSnapshot &action)
    {
        if (host.storage->execute(action).has_error()) {
            return false;
        }
        const auto &last = action.snapshot.last;
        if (action.discardLog) {
            host.logTerms.clear();
        }
        host.logTerms.erase(host.logTerms.begin(), host.logTerms.lower_bound(last.index));
        host.logTerms[last.index] = last.term;
        return true;
    }

    bool executeAction(Host &host, const raft::RestoreSnapshot &action)
    {
        ++counts["snapshot installed"];
        host.state = HashState::decode(action.snapshot.state);
        check(host.state.index == action.snapshot.last.index, "a snapshot ends at its position");
        history.recordRestored(host.state);
        return true;
    }

    bool executeAction(Host &host, const raft::SendMessage &action)
    {
        ++counts["message sent"];
        counts["snapshot part sent"] += std::holds_alternative<SnapshotRequest>(action.message);
        if (const auto *append = std::get_if<AppendRequest>(&action.message)) {
            std::uint64_t bytes = 0;
            for (const auto &entry : append->entries) {
                bytes += entry.payload.size();
            }
            entryBytesTo[action.to] += bytes;
            largestAppend = std::max(largestAppend, bytes);
        }
        if (cuts_.contains({host.name, action.to}) || !hosts_.contains(action.to)) {
            ++counts["message cut off"];
            return true;
        }
        if (random.chance(faults.lossPercent)) {
            ++counts["message lost"];
            return true;
        }
        const auto copies = random.chance(faults.duplicatePercent) ? 2 : 1;
        counts["message duplicated"] += static_cast<std::uint64_t>(copies - 1);
        for (int i = 0; i < copies; ++i) {
            const auto at = now_ + random.between(faults.delayMin, faults.delayMax);
            network_.emplace(std::pair{at, ++order_}, InFlight{action.to, action.message});
        }
        return true;
    }

    bool executeAction(Host &host, const raft::Apply &action)
    {
        host.state.apply(action.entry);
        history.recordApplied(action.entry, host.state);
        return true;
    }

    bool executeAction(Host & /*host*/, const raft::RoleChanged & /*action*/) { return true; }

    bool executeAction(Host & /*host*/, const raft::ProposalAppended &action)
    {
        appended.push_back(action);
        return true;
    }

    bool executeAction(Host & /*host*/, const raft::ProposalRejected &action)
    {
        rejected.push_back(action);
        return true;
    }

    void handleStorageError(Host &host)
    {
        ++counts["storage error"];
        ++host.storageErrors;
        host.node.reset();
        host.reopenAt = now_ + std::chrono::milliseconds{200};
    }

    void checkComplete(const Host &host)
    {
        // A candidate that was frozen may win its election after a newer term already has a leader.
        if (host.node->term() < history.newestTerm()) {
            ++counts["leader of an old term"];
            return;
        }
        for (const auto &[index, entry] : history.committed()) {
            if (index <= host.state.index) {
                continue;
            }
            const auto found = host.logTerms.find(index);
            check(found != host.logTerms.end() && found->second == entry.position.term,
                  "a new leader holds every committed entry");
        }
    }

    void checkLeases()
    {
        std::size_t valid = 0;
        for (const auto &[name, host] : hosts_) {
            if (host.node && host.node->leaseValid(localNow(host))) {
                ++valid;
            }
        }
        check(valid <= 1, "at most one host holds a valid leader lease");
    }

    RaftSettings settings_;
    std::map<std::string, Host> hosts_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<Duration, std::uint64_t>, InFlight> network_;
    Duration now_{};
    std::uint64_t order_ = 0;
    std::uint64_t proposals_ = 0;
};

} // namespace hyssoprock::test
