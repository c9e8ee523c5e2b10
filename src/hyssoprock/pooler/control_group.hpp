#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/controlgroup/group_membership.hpp>
#include <hyssoprock/pooler/control_node_settings.hpp>
#include <hyssoprock/pooler/control_peers.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/replicated/raft_host.hpp>

/// @file
/// @brief This host's part in the control group.

namespace hyssoprock {

/// @brief Raft node, replicated state and membership of a control host. Used on one I/O thread.
class ControlGroup
{
public:
    using ProposeCallback = std::function<void(Result<ControlResult>)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings.
    /// @param peers Carries messages to other control hosts; outlives this object.
    /// @param seed Seed of the election timeouts.
    /// @param files Where the durable state is kept.
    ControlGroup(boost::asio::io_context &context, ControlNodeSettings settings,
                 ControlPeers &peers, std::uint64_t seed, std::shared_ptr<FileSystem> files);

    /// @brief Restores the durable state.
    /// @param leadership Called when this host begins or ceases to lead.
    /// @return Why it cannot start.
    [[nodiscard]] Result<void> start(std::function<void(bool leading)> leadership);
    /// @brief Hands leadership over; voters are not changed any more.
    void stop();
    /// @brief Looks for hosts that are to join, to be added or to be removed.
    void tick(Instant now);

    /// @brief Takes a message of another control host.
    /// @param from The host.
    /// @param frame A Raft message, JoinRequest or LeaveRequest.
    /// @return False for a frame of another type, ProtocolViolation for a wrong sender.
    [[nodiscard]] Result<bool> receive(const std::string &from, const Frame &frame);

    /// @brief Proposes a command on the leader.
    /// @param done See RaftHost::CompletionCallback; may come late or never on a host that is cut
    /// off.
    void propose(const ControlCommand &command, ProposeCallback done);

    /// @brief Whether this host leads with a valid lease and holds every committed entry.
    [[nodiscard]] bool isLeader() const;
    /// @brief Host that leads as far as this host knows; empty if none is known.
    [[nodiscard]] std::string leader() const;
    /// @brief Whether a leader has lately confirmed that this host lacks no older entry.
    [[nodiscard]] bool isCaughtUp(Instant now) const;
    [[nodiscard]] const ControlReplica &replica() const noexcept { return replica_; }
    [[nodiscard]] ControlReplica &replica() noexcept { return replica_; }
    [[nodiscard]] const GroupMembership &membership() const noexcept { return membership_; }
    [[nodiscard]] GroupMembership &membership() noexcept { return membership_; }
    /// @brief The Raft node.
    /// @return Null before the start and while the storage has failed.
    [[nodiscard]] const RaftNode *node() const noexcept { return raft_ ? raft_->node() : nullptr; }
    /// @brief Voters by this host's log.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    [[nodiscard]] Result<std::vector<std::string>> founders() const;
    void takeRaft(RaftMessage message);
    void changeVoters(const std::string &host, bool add);

    boost::asio::io_context &context_;
    ControlNodeSettings settings_;
    ControlPeers &peers_;
    std::uint64_t seed_;
    std::shared_ptr<FileSystem> files_;
    ControlReplica replica_{};
    GroupMembership membership_;
    std::unique_ptr<RaftHost> raft_{};
    std::optional<Instant> leaderSeen_{};
    std::uint64_t leaderCommit_ = 0;
    bool leading_ = false;
    bool stopping_ = false;
};

} // namespace hyssoprock
