#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssoprock/consensus/raft_event.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief Actions of a RaftNode, carried out by its owner.

namespace hyssoprock {

/// @brief Role of a control host in the Raft group.
enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate, ///< Checks whether it would be elected, without incrementing its term.
    Candidate,
    Leader,
};

/// @brief Name of a role for logs and status pages.
/// @param role The role.
[[nodiscard]] std::string_view toString(RaftRole role) noexcept;

namespace raft {

/// @brief Write and sync as one atomic record, before any later action of the batch.
struct Persist
{
    std::optional<HardState> hardState; ///< New hard state.
    std::optional<std::uint64_t>
        truncateFrom;              ///< Remove entries from this index on before appending.
    std::vector<LogEntry> entries; ///< Entries to append.
};

/// @brief Write and sync a snapshot before any later action of the batch. Entries that it covers
/// may be removed from the durable log.
struct SaveSnapshot
{
    RaftSnapshot snapshot;   ///< The snapshot.
    bool discardLog = false; ///< Also remove the entries after the snapshot, because they differ
                             ///< from the leader's.
};

/// @brief Replace the state of the state machine by a snapshot.
struct RestoreSnapshot
{
    RaftSnapshot snapshot; ///< Snapshot received from the leader.
};

/// @brief Send a message. Loss, duplication and reordering are tolerated.
struct SendMessage
{
    std::string to;      ///< Control host.
    RaftMessage message; ///< The message.
};

/// @brief Apply a committed entry. Entries come in order of their index; only those of kind Command
/// concern the state machine.
struct Apply
{
    LogEntry entry; ///< The entry.
};

/// @brief Role, term or known leader has changed.
struct RoleChanged
{
    RaftRole role = RaftRole::Follower; ///< Current role.
    std::uint64_t term = 0;             ///< Current term.
    std::string leader;                 ///< Known leader; empty if unknown.
};

/// @brief A proposal was appended to the leader's log. It is committed when Apply has an entry with
/// exactly this position, and lost when Apply has an entry of another term at this index.
struct ProposalAppended
{
    std::uint64_t proposal = 0; ///< Identifier from the proposal.
    LogPosition position;       ///< Position of its entry.
};

/// @brief A proposal was not appended and will have no effect.
struct ProposalRejected
{
    std::uint64_t proposal = 0; ///< Identifier from the proposal.
    Error error; ///< NotLeader (detail: the known leader), Refused, InvalidValue or Unreachable.
};

} // namespace raft

/// @brief Action of a RaftNode.
using RaftAction =
    std::variant<raft::Persist, raft::SaveSnapshot, raft::RestoreSnapshot, raft::SendMessage,
                 raft::Apply, raft::RoleChanged, raft::ProposalAppended, raft::ProposalRejected>;

/// @brief Actions in the order in which they must be carried out.
using RaftActions = std::vector<RaftAction>;

} // namespace hyssoprock
