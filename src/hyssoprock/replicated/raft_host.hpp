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

/// @brief Carries out the actions of a RaftNode. Used on one I/O thread, on which it syncs files.
class RaftHost
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        /// A message for another control host.
        std::function<void(const std::string &to, const RaftMessage &message)> send{};
        /// This host leads, or leads no longer.
        std::function<void(bool leading, std::uint64_t term, const std::string &leader)> role{};
    };
    /// @brief Called once: with success when the entry is committed and applied here. NotLeader:
    /// nothing was appended, the detail names the known leader. Unreachable: the entry was lost, or
    /// its outcome is not known. Other kinds: refused, nothing was appended.
    using CompletionCallback = std::function<void(Result<void>)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param identity This host and the initial voters of a group that is being formed.
    /// @param settings Timing and batch sizes.
    /// @param folder Folder of the log and the snapshot.
    /// @param state The replicated state; outlives this object.
    /// @param seed Seed of the election timeouts.
    /// @param files Where the folder is.
    RaftHost(boost::asio::io_context &context, RaftIdentity identity, const RaftSettings &settings,
             const std::string &folder, ReplicatedState &state, std::uint64_t seed,
             std::shared_ptr<FileSystem> files = std::make_shared<PosixFileSystem>());
    RaftHost(const RaftHost &) = delete;
    RaftHost &operator=(const RaftHost &) = delete;
    ~RaftHost();

    /// @brief Reads the data folder and starts the node.
    /// @param handlers Called on the I/O thread.
    /// @return StorageFailure or ChecksumMismatch if the folder cannot be used.
    [[nodiscard]] Result<void> start(Handlers handlers);

    /// @brief Takes a message of another control host.
    /// @param message The message.
    void receive(RaftMessage message);

    /// @brief Proposes a command.
    /// @param command Encoded command.
    /// @param done Called when its outcome is known; may be empty. A host that is cut off learns
    /// the outcome late or never, so the caller sets its own deadline.
    void propose(std::string command, CompletionCallback done = {});

    /// @brief Adds or removes a voter.
    /// @param host Control host.
    /// @param add Add or remove.
    /// @param done Called when the change is committed or refused.
    void changeVoters(const std::string &host, bool add, CompletionCallback done);

    /// @brief Gives up adding a voter that has not caught up yet, if there is one.
    void cancelJoin() { handle(raft::CancelJoin{}); }

    /// @brief Hands leadership over, before a shutdown.
    void transferLeadership();

    /// @brief Whether no other host can be leader at this moment.
    [[nodiscard]] bool leaseValid() const;

    /// @brief Newest term.
    [[nodiscard]] std::uint64_t term() const { return node_ ? node_->term() : 0; }

    /// @brief Whether this host leads, ready or not.
    [[nodiscard]] bool isLeader() const { return node_ && node_->role() == RaftRole::Leader; }

    /// @brief Voting control hosts.
    [[nodiscard]] std::vector<std::string> voters() const;

    /// @brief The state machine.
    /// @return Null after a storage error, until the folder could be read again.
    [[nodiscard]] const RaftNode *node() const noexcept { return node_.get(); }

private:
    Result<void> restart();
    void handle(RaftEvent event);
    void drain();
    bool execute(const RaftActions &actions);
    [[nodiscard]] Result<void> carryOut(const RaftAction &action);
    void apply(const LogEntry &entry);
    void restore(const RaftSnapshot &snapshot);
    void settle(const raft::ProposalAppended &action);
    void complete(const LogEntry &entry);
    void failThrough(std::uint64_t index);
    void enqueue(std::uint64_t proposal, RaftEvent event, CompletionCallback done);
    void storageFailed(const Error &error);
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
    bool draining_ = false;
    std::uint64_t nextProposal_ = 1;
    std::map<std::uint64_t, CompletionCallback> proposed_{};
    std::map<std::uint64_t, std::pair<LogPosition, CompletionCallback>> appended_{}; ///< By index.
    bool reportedLeading_ = false;
    std::uint64_t reportedTerm_ = 0;
    std::string reportedLeader_{};
};

} // namespace hyssoprock
