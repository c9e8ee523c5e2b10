#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief Events of a RaftNode.

namespace hyssoprock {

/// @brief Message between control hosts of the Raft group.
using RaftMessage = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, TransferRequest>;

namespace raft {

/// @brief Passage of time; due at RaftNode::nextDeadline() at the latest.
struct Tick
{};

/// @brief A message from another control host, whose field `from` has been authenticated.
struct MessageReceived
{
    RaftMessage message; ///< The message.
};

/// @brief Requests the leader to append a command.
struct Propose
{
    std::uint64_t proposal =
        0; ///< Chosen by the caller; returned in ProposalAppended or ProposalRejected.
    std::string command; ///< Encoded command.
};

/// @brief Requests the leader to add or remove one voter.
struct ProposeVoterChange
{
    std::uint64_t proposal =
        0;            ///< Chosen by the caller; returned in ProposalAppended or ProposalRejected.
    std::string host; ///< Control host.
    bool add = false; ///< Whether to add the host or to remove it.
};

/// @brief Cancels the addition of a voter that has not caught up; its proposal is rejected.
struct CancelJoin
{};

/// @brief Requests the leader to transfer leadership; ignored by other hosts.
struct TransferLeadership
{
    std::string target; ///< New leader; empty for the most advanced voter.
};

/// @brief The state machine has encoded its state.
struct SnapshotTaken
{
    std::uint64_t index = 0; ///< Index of the last entry that the state includes.
    std::string state;       ///< Encoded state.
};

} // namespace raft

/// @brief Event of a RaftNode.
using RaftEvent =
    std::variant<raft::Tick, raft::MessageReceived, raft::Propose, raft::ProposeVoterChange,
                 raft::CancelJoin, raft::TransferLeadership, raft::SnapshotTaken>;

} // namespace hyssoprock
