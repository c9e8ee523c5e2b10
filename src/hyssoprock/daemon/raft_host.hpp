#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/settings/settings.hpp>
#include <hyssoprock/storage/raft_storage.hpp>

/// @file
/// @brief Runs a RaftNode with its storage, and the catalogue that it replicates.

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
        /// A command was committed and applied to the catalogue.
        std::function<void(const CatalogCommand &command, const CatalogResult &result)> applied{};
        /// This host leads, or leads no longer.
        std::function<void(bool leading, std::uint64_t term, const std::string &leader)> role{};
    };
    using VotersChanged = std::function<void(Result<void>)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings of the process.
    /// @param seed Seed of the election timeouts.
    RaftHost(boost::asio::io_context &context, const Settings &settings, std::uint64_t seed);
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

    /// @brief Proposes a command; it may be lost.
    /// @param command The command.
    void propose(const CatalogCommand &command);

    /// @brief Adds or removes a voter.
    /// @param host Control host.
    /// @param add Add or remove.
    /// @param done Called when the change is committed or refused.
    void changeVoters(const std::string &host, bool add, VotersChanged done);

    /// @brief Hands leadership over, before a shutdown.
    void transferLeadership();

    /// @brief The replicated state.
    [[nodiscard]] const Catalog &catalog() const noexcept { return catalog_; }

    /// @brief Whether no other host can be leader at this moment.
    [[nodiscard]] bool leaseValid() const;

    /// @brief Newest term.
    [[nodiscard]] std::uint64_t term() const { return node_ ? node_->term() : 0; }

    /// @brief Whether this host leads, ready or not.
    [[nodiscard]] bool isLeader() const { return node_ && node_->role() == RaftRole::Leader; }

    /// @brief Voting control hosts.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    Result<void> restart();
    void handle(RaftEvent event);
    void drain();
    bool execute(const RaftActions &actions);
    [[nodiscard]] Result<void> carryOut(const RaftAction &action);
    void apply(const LogEntry &entry);
    void restore(const RaftSnapshot &snapshot);
    void settle(const raft::ProposalAppended &action);
    void storageFailed(const Error &error);
    void reportRole();

    boost::asio::io_context &context_;
    const Settings &settings_;
    RandomSource random_;
    std::unique_ptr<FileSystem> files_;
    RaftStorage storage_;
    Catalog catalog_{};
    std::unique_ptr<RaftNode> node_{};
    Handlers handlers_{};
    DeadlineTimer timer_;
    std::deque<RaftEvent> events_{};
    bool draining_ = false;
    std::uint64_t nextProposal_ = 1;
    std::map<std::uint64_t, VotersChanged> voterChanges_{};
    std::map<std::uint64_t, std::pair<LogPosition, VotersChanged>> appendedChanges_{};
    bool reportedLeading_ = false;
    std::uint64_t reportedTerm_ = 0;
    std::string reportedLeader_{};
};

} // namespace hyssoprock
