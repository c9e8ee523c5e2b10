#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/controlgroup/group_membership.hpp>
#include <hyssoprock/limits/allowance_owner.hpp>
#include <hyssoprock/pooler/control_node_settings.hpp>
#include <hyssoprock/pooler/control_peers.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/replicated/raft_host.hpp>

/// @file
/// @brief A control host's member of the Raft control group.

namespace hyssoprock {

/// @brief Combines the Raft node, the replicated state and the membership management. Used on one
/// I/O thread.
class ControlGroup
{
public:
    using ProposeCallback = std::function<void(Result<ControlResult>)>;

    /// @param peers Sends messages to other control hosts; must outlive this object.
    /// @param seed Seed of the randomised election timeouts.
    /// @param files File system that holds the durable state.
    ControlGroup(boost::asio::io_context &context, ControlNodeSettings settings,
                 ControlPeers &peers, std::uint64_t seed, std::shared_ptr<FileSystem> files);

    /// @brief Restores the durable state and starts the Raft node.
    /// @param onLeadershipChanged Called when this host gains or loses leadership.
    /// @return The storage error if the state cannot be restored.
    [[nodiscard]] Result<void> start(std::function<void(bool leading)> onLeadershipChanged);
    /// @brief Transfers leadership to another voter and stops changing voters.
    void stop();
    /// @brief Sends join requests and starts due voter changes.
    void tick(Instant now);

    /// @brief Processes a message of another control host.
    /// @param from IP address that the sender gave in its handshake.
    /// @param frame Raft message, JoinRequest or LeaveRequest; other types are left to the owner.
    /// @return False for a frame of another type; ProtocolViolation if the message names another
    /// sender.
    [[nodiscard]] Result<bool> receive(const std::string &from, const Frame &frame);

    /// @brief Proposes a command; only the leader can commit it.
    /// @param done See RaftHost::CompletionCallback. May be called late or never on a partitioned
    /// host.
    void propose(const ControlCommand &command, ProposeCallback done);

    /// @brief Whether this host leads with a valid lease and has applied every committed entry.
    [[nodiscard]] bool isLeader() const;
    /// @brief IP address of the last known leader; empty if none is known.
    [[nodiscard]] std::string leader() const;
    /// @brief Whether this host leads, or heard from the leader within the last second and has
    /// committed every entry that the leader had committed by then.
    [[nodiscard]] bool isCaughtUp(Instant now) const;
    /// @brief State of this host as the limits of teams need it.
    [[nodiscard]] VoterView voterView(Instant now) const;
    [[nodiscard]] const ControlReplica &replica() const noexcept { return replica_; }
    [[nodiscard]] ControlReplica &replica() noexcept { return replica_; }
    [[nodiscard]] const GroupMembership &membership() const noexcept { return membership_; }
    [[nodiscard]] GroupMembership &membership() noexcept { return membership_; }
    /// @brief The Raft node; null before the start and after a storage failure.
    [[nodiscard]] const RaftNode *node() const noexcept { return raft_ ? raft_->node() : nullptr; }
    /// @brief Voters according to this host's log.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    [[nodiscard]] Result<std::vector<std::string>> loadInitialVoters() const;
    void handleRaftMessage(RaftMessage message);
    void changeVoters(const std::string &host, bool add);

    boost::asio::io_context &context_;
    ControlNodeSettings settings_;
    ControlPeers &peers_;
    std::uint64_t seed_;
    std::shared_ptr<FileSystem> files_;
    ControlReplica replica_{};
    GroupMembership membership_;
    std::unique_ptr<RaftHost> raft_{};
    std::optional<Instant> leaderContactAt_{};
    std::uint64_t leaderCommitIndex_ = 0;
    bool leading_ = false;
    bool stopping_ = false;
};

} // namespace hyssoprock
