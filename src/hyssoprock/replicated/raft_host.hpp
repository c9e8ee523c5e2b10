#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/replicated/replicated_state.hpp>
#include <hyssoprock/settings/settings.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>
#include <hyssoprock/storage/raft_storage.hpp>

/// @file
/// @brief Runs a RaftNode with its storage and the state that it replicates.

namespace hyssoprock {

/// @brief Carries out the actions of a RaftNode. All calls must be made on one I/O thread, which is
/// blocked while files are synced.
class RaftHost
{
public:
    /// @brief Callbacks of the owner.
    struct Handlers
    {
        /// Sends a message to another control host.
        std::function<void(const std::string &to, const RaftMessage &message)> send{};
        /// Called when leadership, term or known leader has changed.
        std::function<void(bool leading, std::uint64_t term, const std::string &leader)>
            roleChanged{};
    };
    /// @brief Called once: with success when the entry is committed and applied on this host.
    /// NotLeader: nothing was appended; the detail is the known leader. Unreachable: the entry was
    /// lost or its outcome is unknown. Other errors: rejected, nothing was appended.
    using CompletionCallback = std::function<void(Result<void>)>;

    /// @brief Constructs a host that is inactive until start().
    /// @param context I/O context.
    /// @param identity This host and the initial voters of a group that is being formed.
    /// @param settings Timeouts and batch sizes.
    /// @param folder Folder of the log and the snapshot.
    /// @param state The replicated state; must outlive this object.
    /// @param seed Seed for random election timeouts.
    /// @param files File system that contains the folder.
    RaftHost(boost::asio::io_context &context, RaftIdentity identity, const RaftSettings &settings,
             const std::string &folder, ReplicatedState &state, std::uint64_t seed,
             std::shared_ptr<FileSystem> files = std::make_shared<PosixFileSystem>());
    RaftHost(const RaftHost &) = delete;
    RaftHost &operator=(const RaftHost &) = delete;
    ~RaftHost();

    /// @brief Loads the data folder and starts the node.
    /// @param handlers Called on the I/O thread.
    /// @return StorageFailure or ChecksumMismatch if the folder cannot be used.
    [[nodiscard]] Result<void> start(Handlers handlers);

    /// @brief Handles a message from another control host.
    /// @param message The message.
    void receive(RaftMessage message);

    /// @brief Proposes a command.
    /// @param command Encoded command.
    /// @param done Called when its outcome is known; may be empty. A partitioned host learns the
    /// outcome late or never, so the caller needs its own deadline.
    void propose(std::string command, CompletionCallback done = {});

    /// @brief Adds or removes a voter.
    /// @param host Control host.
    /// @param add Whether to add the host or to remove it.
    /// @param done Called when the change is committed or rejected.
    void changeVoters(const std::string &host, bool add, CompletionCallback done);

    /// @brief Cancels the addition of a voter that has not caught up, if there is one.
    void cancelJoin() { handle(raft::CancelJoin{}); }

    /// @brief Transfers leadership to another host, before a shutdown.
    void transferLeadership();

    /// @brief Whether no other host can be leader now.
    [[nodiscard]] bool leaseValid() const;

    /// @brief Current term; 0 after a storage error.
    [[nodiscard]] std::uint64_t term() const { return node_ ? node_->term() : 0; }

    /// @brief Whether this host is the leader, even if no entry of its term is committed yet.
    [[nodiscard]] bool isLeader() const { return node_ && node_->role() == RaftRole::Leader; }

    /// @brief Names of the voters.
    [[nodiscard]] std::vector<std::string> voters() const;

    /// @brief The Raft node.
    /// @return Null after a storage error until the folder has been loaded again.
    [[nodiscard]] const RaftNode *node() const noexcept { return node_.get(); }

private:
    Result<void> restart();
    void handle(RaftEvent event);
    void processEvents();
    bool execute(const RaftActions &actions);
    [[nodiscard]] Result<void> executeAction(const RaftAction &action);
    void apply(const LogEntry &entry);
    void restore(const RaftSnapshot &snapshot);
    void recordAppended(const raft::ProposalAppended &action);
    void completeProposal(const LogEntry &entry);
    void failProposalsThrough(std::uint64_t index);
    void submitProposal(std::uint64_t proposal, RaftEvent event, CompletionCallback done);
    void handleStorageFailure(const Error &error);
    void reportRole();

    RaftIdentity identity_;
    RaftSettings settings_;
    ReplicatedState &state_;
    RandomSource random_;
    std::shared_ptr<FileSystem> files_;
    RaftStorage storage_;
    std::unique_ptr<RaftNode> node_{};
    Handlers handlers_{};
    DeadlineTimer timer_;
    std::deque<RaftEvent> events_{};
    bool processingEvents_ = false;
    std::uint64_t nextProposal_ = 1;
    std::map<std::uint64_t, CompletionCallback> pendingProposals_{};
    std::map<std::uint64_t, std::pair<LogPosition, CompletionCallback>>
        appendedProposals_{}; ///< By index.
    bool reportedLeading_ = false;
    std::uint64_t reportedTerm_ = 0;
    std::string reportedLeader_{};
};

} // namespace hyssoprock
