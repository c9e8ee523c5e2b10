#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the consensus module.

namespace hyssoprock {

enum class RaftRole : std::uint8_t;
class RaftLog;
class RaftNode;
struct PeerProgress;
struct RaftIdentity;
struct RestoredState;
struct VoterStatus;

} // namespace hyssoprock

namespace hyssoprock::raft {

struct Apply;
struct CancelJoin;
struct MessageReceived;
struct Persist;
struct ProposalAppended;
struct ProposalRejected;
struct Propose;
struct ProposeVoterChange;
struct RestoreSnapshot;
struct RoleChanged;
struct SaveSnapshot;
struct SendMessage;
struct SnapshotTaken;
struct Tick;
struct TransferLeadership;

} // namespace hyssoprock::raft
