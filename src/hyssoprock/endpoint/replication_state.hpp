#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/endpoint/journal.hpp>
#include <hyssoprock/endpoint/transaction_log.hpp>
#include <hyssoprock/message/replication.hpp>

/// @file
/// @brief Terms, fencing and replication progress of an endpoint.

namespace hyssoprock::endpoint {

/// @brief Endpoint that counts towards the majority.
struct Voter
{
    std::string name;    ///< Name of the endpoint.
    std::string address; ///< IP:port.

    [[nodiscard]] bool operator==(const Voter &) const = default;
};

/// @brief Parses a list of the form "name=address,name=address".
/// @param text List of at least one voter, without duplicate names.
/// @return The voters in the order of the text, or InvalidValue.
[[nodiscard]] Result<std::vector<Voter>> parseVoters(std::string_view text);

/// @brief Formats voters as parseVoters() parses them.
[[nodiscard]] std::string formatVoters(const std::vector<Voter> &voters);

/// @brief Replication role of an endpoint.
enum class Role : std::uint8_t {
    Replica, ///< Accepts no writes.
    Primary, ///< Accepts writes.
    Fenced,  ///< Was primary of a term that has been fenced.
};

/// @brief Name of a role as sent to clients.
[[nodiscard]] std::string_view toString(Role role) noexcept;

/// @brief Replication state machine of one endpoint. Owns the log; has no tables or sockets.
class ReplicationState
{
public:
    /// @brief Starts as a replica without a primary.
    /// @param name Name of this endpoint.
    /// @param journal Receives the durable changes; must outlive this object.
    ReplicationState(std::string name, Journal &journal);

    /// @brief Restores the content of the journal. Must be called before any other function.
    void restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries);

    /// @brief Refuses lower terms from now on.
    /// @param term Lowest accepted term.
    /// @return Last position of the log, or Refused if a higher term is already fenced.
    [[nodiscard]] Result<LogPosition> fence(std::uint64_t term);

    /// @brief Becomes primary. Appends an empty entry so that the majority index can reach the term
    /// without a write. Idempotent for the current term.
    /// @return Last position of the log, or Refused if the term is fenced or was used before.
    [[nodiscard]] Result<LogPosition> promote(std::uint64_t term, std::vector<Voter> voters);

    /// @brief Becomes a replica of a primary.
    /// @return Last position of the log, or Refused if the term is fenced, below the current one,
    /// or if this endpoint is its primary.
    [[nodiscard]] Result<LogPosition> follow(std::uint64_t term, std::string primary,
                                             std::string address);

    /// @brief Replaces the voters of the primary.
    /// @param version Increases with each change in a term, so that a delayed call does not restore
    /// older voters.
    /// @return Last position of the log, or Refused if this endpoint is not the primary of the term
    /// or has voters of a newer version.
    [[nodiscard]] Result<LogPosition> changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                                   std::uint64_t version = 0);

    /// @brief Appends a committed transaction.
    /// @return Position of the entry, or ReadOnlyEndpoint if the role is not Primary.
    [[nodiscard]] Result<LogPosition> append(std::vector<RowChange> changes);

    /// @brief Answers a replica and records its position.
    /// @return std::nullopt if the replica is up to date; retry when the log or majority changes.
    [[nodiscard]] std::optional<ReplicaEntries> handleFetch(const ReplicaFetch &fetch);

    /// @brief Next request of a replica to its primary.
    /// @return std::nullopt if the endpoint follows no primary or the term has been fenced.
    [[nodiscard]] std::optional<ReplicaFetch> makeFetch() const;

    /// @brief Outcome of handleEntries().
    struct Progress
    {
        std::uint64_t keptIndex = 0; ///< Entries after this index were removed or replaced.
        bool truncated = false;      ///< Whether entries were removed.
        bool accepted = false;       ///< False if the answer is stale or was refused.
    };

    /// @brief Handles the primary's answer to makeFetch().
    Progress handleEntries(const ReplicaEntries &answer);

    [[nodiscard]] const TransactionLog &log() const noexcept { return log_; }
    [[nodiscard]] Role role() const noexcept;
    /// @brief Term in which the endpoint is primary or replica.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] std::uint64_t fencedTerm() const noexcept { return fencedTerm_; }
    [[nodiscard]] std::uint64_t majorityIndex() const noexcept { return majorityIndex_; }
    [[nodiscard]] const std::vector<Voter> &voters() const noexcept { return voters_; }
    /// @brief Name of the known primary; empty if none.
    [[nodiscard]] const std::string &primary() const noexcept { return primary_; }
    /// @brief Address of the followed primary; empty if none.
    [[nodiscard]] const std::string &primaryAddress() const noexcept { return primaryAddress_; }

private:
    void raiseFence(std::uint64_t term);
    void advanceMajority();
    [[nodiscard]] ReplicaEntries makeEntriesAnswer(const ReplicaFetch &fetch) const;

    std::string name_;
    Journal &journal_;
    TransactionLog log_;
    bool isPrimary_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t fencedTerm_ = 0;
    std::uint64_t majorityIndex_ = 0;
    std::vector<Voter> voters_;
    std::uint64_t votersVersion_ = 0;
    std::map<std::string, std::uint64_t> replicaIndexes_; ///< Last index by replica in this term.
    std::string primary_;
    std::string primaryAddress_;
    LogPosition
        matchCandidate_; ///< Newest entry that the primary may have in common with this log.
};

} // namespace hyssoprock::endpoint
