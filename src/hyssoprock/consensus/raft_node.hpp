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

/// @brief Who a control host is and from what it starts.
struct RaftIdentity
{
    std::string name;                       ///< This host.
    std::vector<std::string> initialVoters; ///< Voters of a group that is being formed.
};

/// @brief What a leader knows of a voter.
struct VoterStatus
{
    std::string host;                   ///< Control host.
    std::optional<Instant> confirmedAt; ///< When the newest request that it answered was sent.
    bool recovering = false;            ///< It has lost its data; counts towards no majority.
};

/// @brief Raft with pre-vote, check-quorum, a leader lease, snapshots and changes of one voter.
///
/// The shell carries out actions in order. If Persist or SaveSnapshot fails, it drops the rest of
/// the batch, discards the node, and later makes a new one from the durable state, as after a
/// crash. Before the first event the shell restores the state machine from RestoredState::snapshot;
/// entries after it come again as Apply.
class RaftNode
{
public:
    /// @brief Starts as a follower.
    /// @param identity This host and the initial voters.
    /// @param settings Timing and batch sizes.
    /// @param restored Durable state.
    /// @param seed Seed of the election timeouts.
    /// @param now Present time; no vote is given for one election timeout from here.
    RaftNode(RaftIdentity identity, const RaftSettings &settings, const RestoredState &restored,
             std::uint64_t seed, Instant now);

    /// @brief Reacts to an event.
    /// @param event The event.
    /// @param now Present time, never earlier than in the call before.
    /// @return What to do, in order.
    [[nodiscard]] RaftActions handle(const RaftEvent &event, Instant now);

    /// @brief When a Tick is due at the latest.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Whether no other host can be leader at this moment, within the clock drift bound.
    /// @param now Present time.
    [[nodiscard]] bool leaseValid(Instant now) const;
    /// @brief When the leader lease ends, unless it is renewed.
    /// @return Nothing if this host is not the leader or no majority has answered yet.
    [[nodiscard]] std::optional<Instant> leaseEnd() const;

    [[nodiscard]] RaftRole role() const noexcept { return role_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return hard_.term; }
    /// @brief Known leader of the present term; empty if none.
    [[nodiscard]] const std::string &leader() const noexcept { return leader_; }
    [[nodiscard]] const std::string &name() const noexcept { return identity_.name; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return commitIndex_; }
    [[nodiscard]] std::uint64_t lastApplied() const noexcept { return commitIndex_; }
    [[nodiscard]] LogPosition lastPosition() const noexcept { return log_.last(); }
    /// @brief Voters by the newest log entry that names them.
    [[nodiscard]] const std::vector<std::string> &voters() const noexcept { return log_.voters(); }
    /// @brief Contact to the voters, as far as this host has any; meaningful on a leader.
    [[nodiscard]] std::vector<VoterStatus> voterStatus() const;
    /// @brief Whether this host has lost its data and has not been readmitted yet.
    [[nodiscard]] bool recovering() const noexcept { return hard_.recovering; }
    /// @brief As leader: whether an entry of its own term is committed, so that the state machine
    /// holds every entry committed by earlier leaders.
    [[nodiscard]] bool leaderReady() const noexcept;
    /// @brief Whether an entry of the present term is known to be committed, so that no entry that
    /// an earlier leader committed is missing from the applied state.
    [[nodiscard]] bool termCommitted() const { return log_.termAt(commitIndex_) == hard_.term; }
    /// @brief Whether enough entries were applied since the last snapshot to take another.
    [[nodiscard]] bool snapshotDue() const noexcept;

private:
    /// @brief Compares nodes by their whole state in the exploration test/control_model.
    friend struct RaftNodeInspector;

    /// @brief A voter change that waits until the new host has caught up.
    struct PendingJoin
    {
        std::uint64_t proposal;  ///< From the proposal.
        std::string host;        ///< Host that is to become a voter.
        std::uint64_t goalIndex; ///< Index that it must reach.
        Instant deadline;        ///< When it is given up.
    };

    /// @brief A snapshot of which parts have arrived.
    struct IncomingSnapshot
    {
        std::uint64_t term = 0;  ///< Term of the leader that sends it.
        std::uint64_t total = 0; ///< Size of the encoded state.
        RaftSnapshot snapshot;   ///< With the state as far as it has arrived.
    };

    /// @brief A transfer of leadership that waits until the target has caught up.
    struct PendingTransfer
    {
        std::string target; ///< Voter that is to lead.
        Instant deadline;   ///< When it is given up.
    };

    void on(const raft::Tick &event);
    void on(const raft::MessageReceived &event);
    void on(const raft::Propose &event);
    void on(const raft::ProposeVotersChange &event);
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
    [[nodiscard]] bool mayCampaign() const;
    [[nodiscard]] bool fresh() const noexcept;
    [[nodiscard]] bool grantsVote(const VoteRequest &request) const;

    // The leader's side of replication: raft_leader.cpp.
    void broadcast();
    void sendAppend(const std::string &to, PeerProgress &peer);
    void sendSnapshot(const std::string &to, PeerProgress &peer);
    void rewindSnapshot(PeerProgress::SnapshotTransfer &transfer, std::uint64_t received);
    [[nodiscard]] bool maySendEntries(const PeerProgress &peer) const;
    [[nodiscard]] bool acceptAnswer(PeerProgress &peer, std::uint64_t sequence, bool recovering);
    [[nodiscard]] bool mayReadmit(const PeerProgress &peer) const;
    void advance(const std::string &from, PeerProgress &peer, std::uint64_t matchIndex);
    void advanceCommit();
    void leaderTick();
    [[nodiscard]] std::optional<Instant> quorumConfirmedAt() const;
    LogPosition appendOwn(LogEntryKind kind, std::string payload);

    // The follower's side of replication: raft_follower.cpp.
    [[nodiscard]] bool acceptLeader(const std::string &from, std::uint64_t term);
    void takeEntries(const AppendRequest &request);
    [[nodiscard]] bool takePart(const SnapshotRequest &request);
    void install(RaftSnapshot snapshot);
    void commitTo(std::uint64_t index);

    // Voter changes and transfer of leadership: raft_change.cpp.
    void startJoin(const raft::ProposeVotersChange &event);
    void progressJoin();
    void progressTransfer();
    void changeVoters(std::uint64_t proposal, std::vector<std::string> voters);
    void abandonJoin();
    void abandonChanges();
    void syncPeers();
    [[nodiscard]] bool isVoter(const std::string &host) const;
    [[nodiscard]] std::size_t majority() const noexcept;

    void persistHardState();
    void persistEntries(std::optional<std::uint64_t> truncateFrom, std::vector<LogEntry> entries);
    void send(const std::string &to, RaftMessage message);
    void reject(std::uint64_t proposal, ErrorKind kind, std::string detail);
    void announceRole();

    RaftIdentity identity_;
    RaftSettings settings_;
    RandomSource random_;
    RaftLog log_;
    HardState hard_;
    RaftRole role_ = RaftRole::Follower;
    std::string leader_;
    std::uint64_t commitIndex_ = 0;
    Instant now_;
    Instant electionDeadline_;
    Instant voteBarrier_;  ///< No vote is given before: a leader may hold a lease until then.
    Instant freshBarrier_; ///< A host without data takes no part before.
    bool bootstrapping_ = false;
    std::optional<IncomingSnapshot> incoming_;
    std::set<std::string> votes_;
    std::set<std::string> blankVoters_;
    // As leader:
    std::map<std::string, PeerProgress> peers_;
    Instant leaderSince_;
    Instant nextHeartbeat_;
    std::uint64_t termStartIndex_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::optional<PendingJoin> join_;
    std::optional<PendingTransfer> transfer_;
    raft::RoleChanged announced_;
    RaftActions actions_;
};

} // namespace hyssoprock
