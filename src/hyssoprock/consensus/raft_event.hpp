#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief What a RaftNode reacts to.

namespace hyssoprock {

/// @brief Every message between control hosts of the Raft group.
using RaftMessage = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, TransferRequest>;

namespace raft {

/// @brief Time has passed; due at RaftNode::nextDeadline() at the latest.
struct Tick
{};

/// @brief A message from another control host; its field `from` has been authenticated.
struct MessageReceived
{
    RaftMessage message; ///< The message.
};

/// @brief Asks the leader to append a command.
struct Propose
{
    std::uint64_t proposal = 0; ///< Chosen by the caller; comes back in the answer.
    std::string command;        ///< Encoded command.
};

/// @brief Asks the leader to add or remove one voter.
struct ProposeVotersChange
{
    std::uint64_t proposal = 0; ///< Chosen by the caller; comes back in the answer.
    std::string host;           ///< Control host.
    bool add = false;           ///< Add or remove.
};

/// @brief Gives up adding a voter that has not caught up; its proposal is rejected.
struct CancelJoin
{};

/// @brief Asks the leader to hand leadership over; ignored by others.
struct TransferLeadership
{
    std::string target; ///< Voter that is to lead; empty for the one that has caught up furthest.
};

/// @brief The state machine has encoded its state.
struct SnapshotTaken
{
    std::uint64_t index = 0; ///< Last applied entry that the state includes.
    std::string state;       ///< Encoded state.
};

} // namespace raft

/// @brief Event of a RaftNode.
using RaftEvent =
    std::variant<raft::Tick, raft::MessageReceived, raft::Propose, raft::ProposeVotersChange,
                 raft::CancelJoin, raft::TransferLeadership, raft::SnapshotTaken>;

} // namespace hyssoprock
