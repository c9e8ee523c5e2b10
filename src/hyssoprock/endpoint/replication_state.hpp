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
/// @brief Terms, fencing, and who holds which part of the log.

namespace hyssoprock::endpoint {

/// @brief A member that counts towards the majority.
struct Voter
{
    std::string name;    ///< Name of the endpoint.
    std::string address; ///< IP number and port.

    [[nodiscard]] bool operator==(const Voter &) const = default;
};

/// @brief Reads "name=address,name=address".
/// @param text At least one voter, without duplicates.
/// @return The voters in the order of the text, or InvalidValue.
[[nodiscard]] Result<std::vector<Voter>> parseVoters(std::string_view text);

/// @brief Writes voters in the form that parseVoters() reads.
[[nodiscard]] std::string formatVoters(const std::vector<Voter> &voters);

/// @brief What an endpoint does at present.
enum class Role : std::uint8_t {
    Replica, ///< Accepts no writes.
    Primary, ///< Accepts writes.
    Fenced,  ///< Was primary of a term that is now refused.
};

/// @brief Name of a role in answers.
[[nodiscard]] std::string_view toString(Role role) noexcept;

/// @brief Replication of one endpoint. Holds the log; knows nothing of tables and sockets.
class ReplicationState
{
public:
    /// @brief Starts as a replica that follows nobody.
    /// @param name Name of this endpoint.
    /// @param journal Where durable changes go; must outlive this object.
    ReplicationState(std::string name, Journal &journal);

    /// @brief Puts back what the journal kept. Only before anything else.
    void restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries);

    /// @brief Refuses all terms below one from now on.
    /// @param term Lowest term that is still accepted.
    /// @return Last position of the log, or Refused if a higher fence is in force.
    [[nodiscard]] Result<LogPosition> fence(std::uint64_t term);

    /// @brief Becomes primary. The first entry of the term is empty, so that the majority index can
    /// reach the term without a write. Repeating the same promotion changes nothing.
    /// @return Refused if the term is below the fence, or is not new and not ours.
    [[nodiscard]] Result<LogPosition> promote(std::uint64_t term, std::vector<Voter> voters);

    /// @brief Replicates from a primary.
    /// @return Refused if the term is below the fence, or we are its primary.
    [[nodiscard]] Result<LogPosition> follow(std::uint64_t term, std::string primary,
                                             std::string address);

    /// @brief Changes the voters on the primary.
    /// @param version Rises with each change in a term; a call that was delayed must not bring
    /// older voters back.
    /// @return Refused if we are not the primary of this term, or have newer voters in it.
    [[nodiscard]] Result<LogPosition> changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                                   std::uint64_t version = 0);

    /// @brief Adds a committed transaction.
    /// @return Its position, or ReadOnlyEndpoint if we are not an unfenced primary.
    [[nodiscard]] Result<LogPosition> append(std::vector<RowChange> changes);

    /// @brief Answers a replica and notes what it holds.
    /// @return Nothing if there is no news for it yet; ask again later.
    [[nodiscard]] std::optional<ReplicaEntries> handleFetch(const ReplicaFetch &fetch);

    /// @brief The request that a replica sends next.
    /// @return Nothing if it follows nobody or has been fenced since.
    [[nodiscard]] std::optional<ReplicaFetch> makeFetch() const;

    /// @brief What became of an answer of the primary.
    struct Progress
    {
        std::uint64_t keptIndex = 0; ///< Entries after this index were removed or replaced.
        bool truncated = false;      ///< Whether entries were removed.
        bool accepted = false;       ///< False if the answer is not for us in this term.
    };

    /// @brief Takes the answer to makeFetch().
    Progress handleEntries(const ReplicaEntries &answer);

    [[nodiscard]] const TransactionLog &log() const noexcept { return log_; }
    [[nodiscard]] Role role() const noexcept;
    /// @brief Term in which we are primary or which we follow.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] std::uint64_t fencedTerm() const noexcept { return fencedTerm_; }
    [[nodiscard]] std::uint64_t majorityIndex() const noexcept { return majorityIndex_; }
    [[nodiscard]] const std::vector<Voter> &voters() const noexcept { return voters_; }
    /// @brief Name of the primary that we know of; empty if none.
    [[nodiscard]] const std::string &primary() const noexcept { return primary_; }
    /// @brief Address of the primary that we follow; empty if we follow none.
    [[nodiscard]] const std::string &primaryAddress() const noexcept { return primaryAddress_; }

private:
    void raiseFence(std::uint64_t term);
    void advanceMajority();
    [[nodiscard]] ReplicaEntries answerMatching(const ReplicaFetch &fetch) const;

    std::string name_;
    Journal &journal_;
    TransactionLog log_;
    bool isPrimary_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t fencedTerm_ = 0;
    std::uint64_t majorityIndex_ = 0;
    std::vector<Voter> voters_;
    std::uint64_t votersVersion_ = 0;
    std::map<std::string, std::uint64_t> held_; ///< Index that each replica holds, this term.
    std::string primary_;
    std::string primaryAddress_;
    LogPosition probe_; ///< Newest entry that the primary may have in common with us.
};

} // namespace hyssoprock::endpoint
