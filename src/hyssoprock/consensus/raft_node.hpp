#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/consensus/peer_progress.hpp>
#include <hyssoprock/consensus/raft_action.hpp>
#include <hyssoprock/consensus/raft_event.hpp>
#include <hyssoprock/consensus/raft_log.hpp>
#include <hyssoprock/consensus/restored_state.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Raft state machine of one control host.

namespace hyssoprock {

/// @brief Name of a control host and the initial voters of its group.
struct RaftIdentity
{
    std::string name;                       ///< Name of this host.
    std::vector<std::string> initialVoters; ///< Voters of a group that is being formed.
    /// The host has known since its first start, with empty disks everywhere, that it is an initial
    /// voter. If it has no state, it has never voted and has not lost any data.
    bool founder = false;
};

/// @brief Status of a voter, as known to the leader.
struct VoterStatus
{
    std::string host;                   ///< Control host.
    std::optional<Instant> confirmedAt; ///< When the newest request with a response was sent.
    bool recovering = false;            ///< It has lost its data and counts towards no majority.
};

/// @brief Raft with pre-vote, check-quorum, a leader lease, snapshots and single-voter changes.
///
/// The owner carries out the actions in order. If Persist or SaveSnapshot fails, it discards the
/// rest of the batch and the node, and later constructs a new one from the durable state, as after
/// a crash. Before the first event the owner restores the state machine from
/// RestoredState::snapshot; later entries are applied again by Apply.
class RaftNode
{
public:
    /// @brief Constructs a follower.
    /// @param identity This host and the initial voters.
    /// @param settings Timeouts and batch sizes.
    /// @param restored Durable state.
    /// @param seed Seed for random election timeouts.
    /// @param now Current time. No vote is granted for one minimum election timeout from then on.
    RaftNode(RaftIdentity identity, const RaftSettings &settings, const RestoredState &restored,
             std::uint64_t seed, Instant now);

    /// @brief Handles an event.
    /// @param event The event.
    /// @param now Current time, not earlier than in the previous call.
    /// @return Actions, to be carried out in order.
    [[nodiscard]] RaftActions handle(const RaftEvent &event, Instant now);

    /// @brief Latest time at which a Tick is due.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Whether no other host can be leader now, given the bound of clock drift.
    /// @param now Current time.
    [[nodiscard]] bool leaseValid(Instant now) const;
    /// @brief Time at which the leader lease ends unless it is renewed.
    /// @return Nothing if this host is not the leader or no majority has responded yet.
    [[nodiscard]] std::optional<Instant> leaseExpiry() const;

    [[nodiscard]] RaftRole role() const noexcept { return role_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return hardState_.term; }
    /// @brief Known leader of the current term; empty if unknown.
    [[nodiscard]] const std::string &leader() const noexcept { return leader_; }
    [[nodiscard]] const std::string &name() const noexcept { return identity_.name; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return commitIndex_; }
    [[nodiscard]] std::uint64_t lastApplied() const noexcept { return commitIndex_; }
    [[nodiscard]] LogPosition lastPosition() const noexcept { return log_.last(); }
    /// @brief Voters of the newest voters entry in the log.
    [[nodiscard]] const std::vector<std::string> &voters() const noexcept { return log_.voters(); }
    /// @brief Status of the voters; meaningful only on the leader.
    [[nodiscard]] std::vector<VoterStatus> voterStatus() const;
    /// @brief Whether this host has lost its data and has not been readmitted as a voter.
    [[nodiscard]] bool recovering() const noexcept { return hardState_.recovering; }
    /// @brief Whether this host is the leader and an entry of its own term is committed, so that
    /// the state machine includes every entry committed by earlier leaders.
    [[nodiscard]] bool leaderReady() const noexcept;
    /// @brief Whether an entry of the current term is known to be committed, so that the applied
    /// state includes every entry committed by earlier leaders.
    [[nodiscard]] bool termCommitted() const
    {
        return log_.termAt(commitIndex_) == hardState_.term;
    }
    /// @brief Whether enough entries were applied since the last snapshot to take a new one.
    [[nodiscard]] bool snapshotDue() const noexcept;

private:
    /// @brief Reads the whole state of a node in the model checker test/control_model.
    friend struct RaftNodeInspector;

    /// @brief The addition of a voter, pending until the host has caught up.
    struct PendingJoin
    {
        std::uint64_t proposal;    ///< Identifier of the proposal.
        std::string host;          ///< Host to be added as a voter.
        std::uint64_t targetIndex; ///< Index that the host must reach.
        Instant deadline;          ///< When it is abandoned.
    };

    /// @brief A partly received snapshot.
    struct IncomingSnapshot
    {
        std::uint64_t term = 0;  ///< Term of the leader that sends it.
        std::uint64_t total = 0; ///< Size of the encoded state in bytes.
        RaftSnapshot snapshot;   ///< Snapshot with the received part of the state.
    };

    /// @brief A leadership transfer, pending until the target has caught up.
    struct PendingTransfer
    {
        std::string target; ///< New leader.
        Instant deadline;   ///< When it is abandoned.
    };

    void on(const raft::Tick &event);
    void on(const raft::MessageReceived &event);
    void on(const raft::Propose &event);
    void on(const raft::ProposeVoterChange &event);
    void on(const raft::CancelJoin &event);
    void on(const raft::TransferLeadership &event);
    void on(const raft::SnapshotTaken &event);

    void receive(const VoteRequest &request);
    void receive(const VoteResponse &response);
    void receive(const AppendRequest &request);
    void receive(const AppendResponse &response);
    void receive(const SnapshotRequest &request);
    void receive(const SnapshotResponse &response);
    void receive(const TransferRequest &request);

    // Elections: raft_election.cpp.
    void campaign(bool preVote, bool transfer);
    void countVote(const std::string &voter);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void becomeLeader();
    void resetElectionTimer();
    [[nodiscard]] bool canCampaign() const;
    /// @brief Whether the host may have lost its state: it has none, and is not known to be new.
    [[nodiscard]] bool mayHaveLostState() const noexcept;
    [[nodiscard]] bool shouldGrantVote(const VoteRequest &request) const;

    // Replication on the leader: raft_leader.cpp.
    void broadcast();
    void sendAppend(const std::string &to, PeerProgress &peer);
    void sendSnapshot(const std::string &to, PeerProgress &peer);
    void rewindSnapshot(PeerProgress::SnapshotTransfer &transfer, std::uint64_t received);
    [[nodiscard]] bool canSendEntries(const PeerProgress &peer) const;
    [[nodiscard]] bool acceptResponse(PeerProgress &peer, std::uint64_t sequence, bool recovering);
    [[nodiscard]] bool canReadmit(const PeerProgress &peer) const;
    void advanceMatch(const std::string &from, PeerProgress &peer, std::uint64_t matchIndex);
    void advanceCommit();
    void leaderTick();
    [[nodiscard]] std::optional<Instant> quorumConfirmedAt() const;
    LogPosition appendAsLeader(LogEntryKind kind, std::string payload);

    // Replication on a follower: raft_follower.cpp.
    [[nodiscard]] bool acceptLeader(const std::string &from, std::uint64_t term);
    void appendEntries(const AppendRequest &request);
    [[nodiscard]] bool addSnapshotPart(const SnapshotRequest &request);
    void installSnapshot(RaftSnapshot snapshot);
    void commitTo(std::uint64_t index);

    // Voter changes and leadership transfer: raft_change.cpp.
    void startJoin(const raft::ProposeVoterChange &event);
    void continueJoin();
    void continueTransfer();
    void changeVoters(std::uint64_t proposal, std::vector<std::string> voters);
    void abandonJoin();
    void abandonChanges();
    void updatePeers();
    [[nodiscard]] bool isVoter(const std::string &host) const;
    [[nodiscard]] std::size_t majority() const noexcept;

    void grantPreVote(const std::string &candidate);
    void persistHardState();
    void persistEntries(std::optional<std::uint64_t> truncateFrom, std::vector<LogEntry> entries);
    void send(const std::string &to, RaftMessage message);
    void reject(std::uint64_t proposal, ErrorKind kind, std::string detail);
    void reportRoleChange();

    RaftIdentity identity_;
    RaftSettings settings_;
    RandomSource random_;
    RaftLog log_;
    HardState hardState_;
    RaftRole role_ = RaftRole::Follower;
    std::string leader_;
    std::uint64_t commitIndex_ = 0;
    Instant now_;
    Instant electionDeadline_;
    Instant votesBlockedUntil_;     ///< A leader may hold a lease until then.
    Instant messagesIgnoredUntil_;  ///< A host without data takes no part before.
    std::string preVoteGrantedTo_;  ///< Host that was last granted a pre-vote.
    Instant preVoteGrantedUntil_{}; ///< Other hosts are refused a pre-vote until then.
    bool bootstrapping_ = false;
    std::optional<IncomingSnapshot> incoming_;
    std::set<std::string> votes_;
    std::set<std::string> emptyLogVoters_;
    // Valid only on the leader.
    std::map<std::string, PeerProgress> peers_;
    Instant leaderSince_;
    Instant nextHeartbeat_;
    std::uint64_t termStartIndex_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::optional<PendingJoin> join_;
    std::optional<PendingTransfer> transfer_;
    raft::RoleChanged reportedRole_;
    RaftActions actions_;
};

} // namespace hyssoprock
