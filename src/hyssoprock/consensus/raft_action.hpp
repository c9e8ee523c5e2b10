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
/// @brief What a RaftNode asks of its shell.

namespace hyssoprock {

/// @brief Role of a control host in the Raft group.
enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate, ///< Asks whether it would be elected, without raising its term.
    Candidate,
    Leader,
};

/// @brief Name of a role for logs and status pages.
/// @param role The role.
/// @return Its name.
[[nodiscard]] std::string_view toString(RaftRole role) noexcept;

namespace raft {

/// @brief Write and sync, as one atomic record, before any later action of the batch.
struct Persist
{
    std::optional<HardState> hardState;        ///< New hard state.
    std::optional<std::uint64_t> truncateFrom; ///< Remove entries from this index on, first.
    std::vector<LogEntry> entries;             ///< Append these.
};

/// @brief Write and sync a snapshot before any later action of the batch. Entries that it covers
/// may be removed from the durable log.
struct SaveSnapshot
{
    RaftSnapshot snapshot; ///< The snapshot.
    bool discardLog =
        false; ///< Remove the entries after the snapshot, too: they differ from the leader's.
};

/// @brief Replace the state of the state machine.
struct RestoreSnapshot
{
    RaftSnapshot snapshot; ///< Taken from the leader.
};

/// @brief Send a message. Loss, duplication and reordering are tolerated.
struct SendMessage
{
    std::string to;      ///< Control host.
    RaftMessage message; ///< The message.
};

/// @brief A committed entry, in order of its index. Only entries of kind Command concern the state
/// machine.
struct Apply
{
    LogEntry entry; ///< The entry.
};

/// @brief Role, term or known leader has changed.
struct RoleChanged
{
    RaftRole role = RaftRole::Follower; ///< Present role.
    std::uint64_t term = 0;             ///< Present term.
    std::string leader;                 ///< Known leader; empty if none.
};

/// @brief A proposal is in the leader's log. It is committed when Apply brings an entry with
/// exactly this position, and lost when Apply brings another term at this index.
struct ProposalAppended
{
    std::uint64_t proposal = 0; ///< From the proposal.
    LogPosition position;       ///< Position of its entry.
};

/// @brief A proposal was not appended and will have no effect.
struct ProposalRejected
{
    std::uint64_t proposal = 0; ///< From the proposal.
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
