#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/replication_state.hpp>
#include <hyssoprock/endpoint/table_store.hpp>

/// @file
/// @brief Log and tables of one endpoint.

namespace hyssoprock::endpoint {

/// @brief Keeps the tables at a position of the replicated log.
///
/// A replica holds entries as soon as they arrive, which counts towards the majority, and shows
/// them to readers after the replication lag.
class Database
{
public:
    /// @param name Name of the endpoint.
    /// @param lag Time from the arrival of an entry to its visibility on a replica.
    /// @param journal Where durable changes go; must outlive this object.
    Database(std::string name, Duration lag, Journal &journal);

    /// @brief Puts back what the journal kept. Only before anything else.
    void restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries);

    /// @copydoc ReplicationState::fence
    [[nodiscard]] Result<LogPosition> fence(std::uint64_t term);
    /// @brief See ReplicationState::promote(). All entries become visible at once.
    [[nodiscard]] Result<LogPosition> promote(std::uint64_t term, std::vector<Voter> voters);
    /// @copydoc ReplicationState::follow
    [[nodiscard]] Result<LogPosition> follow(std::uint64_t term, std::string primary,
                                             std::string address);
    /// @copydoc ReplicationState::changeVoters
    [[nodiscard]] Result<LogPosition> changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                                   std::uint64_t version);
    /// @copydoc ReplicationState::handleFetch
    [[nodiscard]] std::optional<ReplicaEntries> handleFetch(const ReplicaFetch &fetch);
    /// @brief Takes the primary's answer to replication().makeFetch().
    /// @return Whether the answer was accepted.
    bool handleEntries(const ReplicaEntries &answer, Instant now);

    /// @brief Makes the entries visible whose lag is over.
    void applyDue(Instant now);
    /// @brief When applyDue() has something to do.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;
    /// @brief Changes the lag, also for entries that have arrived already.
    void setLag(Duration lag) noexcept { lag_ = lag; }

    /// @brief Commits a transaction.
    /// @param changes Rows that were inserted carry a provisional number of at least
    /// firstProvisionalRow and get their final number here.
    /// @param term Term in which the transaction made its first change.
    /// @return Position of the entry, or ReadOnlyEndpoint if this is no longer the term's primary.
    [[nodiscard]] Result<LogPosition> commit(std::vector<RowChange> changes, std::uint64_t term);

    /// @brief Gives a transaction the sole right to update and delete rows of a table.
    /// @param table Table.
    /// @param owner Number of the session.
    /// @return False while another session has the right.
    [[nodiscard]] bool lockTable(const std::string &table, std::uint64_t owner);
    /// @brief Gives back all of a session's rights.
    void unlockTables(std::uint64_t owner);

    /// @brief Position that readers see.
    [[nodiscard]] LogPosition visible() const noexcept;
    [[nodiscard]] const ReplicationState &replication() const noexcept { return replication_; }
    [[nodiscard]] const TableStore &tables() const noexcept { return tables_; }

    /// @brief Rows of an open transaction are numbered from here.
    static constexpr std::uint64_t firstProvisionalRow = std::uint64_t{1} << 63U;

private:
    struct Arrival
    {
        Instant at;
        std::uint64_t index;
    };

    void applyUpTo(std::uint64_t index);

    ReplicationState replication_;
    TableStore tables_;
    Duration lag_;
    std::uint64_t visibleIndex_ = 0;
    std::deque<Arrival> arrivals_;
    std::map<std::string, std::uint64_t> locks_; ///< Session that holds each locked table.
};

} // namespace hyssoprock::endpoint
