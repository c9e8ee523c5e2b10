// Embeds the consensus module: three replicas of a counter in one process, with a message queue as
// the network and simulated time. Halfway through, the leader is isolated; the other replicas elect
// a new leader and continue.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/time.hpp>

namespace {

using namespace hyssoprock;
using namespace std::chrono_literals;

constexpr Duration tickInterval = 10ms;
constexpr int incrementCount = 20;

/// A consensus node and the counter that it replicates.
struct Replica
{
    RaftNode node;
    std::uint64_t counter = 0;
};

/// A message in transit.
struct Envelope
{
    std::string to;
    RaftMessage message;
};

class Cluster
{
public:
    Cluster()
    {
        const std::vector<std::string> names{"a", "b", "c"};
        std::uint64_t seed = 1;
        for (const auto &name : names) {
            replicas_.emplace(name, Replica{RaftNode{RaftIdentity{name, names}, RaftSettings{},
                                                     RestoredState{}, seed++, now_}});
        }
    }

    /// Advances the time by one tick, ticks every replica and delivers pending messages.
    void advance()
    {
        now_ += tickInterval;
        for (auto &[name, replica] : replicas_) {
            execute(name, replica, replica.node.handle(raft::Tick{}, now_));
        }
        for (auto messages = std::exchange(network_, {}); !messages.empty(); messages.pop_front()) {
            const auto &[to, message] = messages.front();
            if (to != isolated_) {
                auto &replica = replicas_.at(to);
                execute(to, replica, replica.node.handle(raft::MessageReceived{message}, now_));
            }
        }
    }

    /// Proposes one increment to the leader that holds a valid lease.
    bool increment()
    {
        const auto leader = leaseHolder();
        if (leader.empty()) {
            return false;
        }
        auto &replica = replicas_.at(leader);
        execute(leader, replica, replica.node.handle(raft::Propose{1, "increment"}, now_));
        return true;
    }

    /// Name of the replica whose leader lease is valid. Empty if there is none.
    [[nodiscard]] std::string leaseHolder() const
    {
        for (const auto &[name, replica] : replicas_) {
            if (replica.node.leaseValid(now_)) {
                return name;
            }
        }
        return {};
    }

    void isolate(std::string name) { isolated_ = std::move(name); }
    [[nodiscard]] std::uint64_t counter(const std::string &name) const
    {
        return replicas_.at(name).counter;
    }

private:
    // A real application must sync Persist and SaveSnapshot to disk before it executes the next
    // action.
    void execute(const std::string &name, Replica &replica, const RaftActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<raft::SendMessage>(&action);
                send != nullptr && name != isolated_) {
                network_.push_back(Envelope{send->to, send->message});
            } else if (const auto *apply = std::get_if<raft::Apply>(&action);
                       apply != nullptr && apply->entry.kind == LogEntryKind::Command) {
                ++replica.counter;
            }
        }
    }

    Instant now_{1h};
    std::map<std::string, Replica> replicas_;
    std::deque<Envelope> network_;
    std::string isolated_;
};

std::string waitForLeader(Cluster &cluster, const std::string &excluded)
{
    for (int i = 0; i < 1000; ++i) {
        cluster.advance();
        if (const auto leader = cluster.leaseHolder(); !leader.empty() && leader != excluded) {
            return leader;
        }
    }
    return {};
}

int incrementMany(Cluster &cluster)
{
    int proposed = 0;
    for (int i = 0; i < incrementCount; ++i) {
        proposed += cluster.increment() ? 1 : 0;
        cluster.advance();
    }
    for (int i = 0; i < 100; ++i) {
        cluster.advance();
    }
    return proposed;
}

} // namespace

int main()
{
    Cluster cluster;
    const auto first = waitForLeader(cluster, {});
    const auto before = incrementMany(cluster);
    std::printf("leader %s: %d increments proposed, counter %llu\n", first.c_str(), before,
                static_cast<unsigned long long>(cluster.counter(first)));

    cluster.isolate(first);
    const auto second = waitForLeader(cluster, first);
    const auto after = incrementMany(cluster);
    std::printf("leader %s after %s was cut off: %d increments proposed, counter %llu\n",
                second.c_str(), first.c_str(), after,
                static_cast<unsigned long long>(cluster.counter(second)));

    const auto expected = static_cast<std::uint64_t>(before) + static_cast<std::uint64_t>(after);
    return before == incrementCount && cluster.counter(second) == expected ? 0 : 1;
}
