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
/// @brief Transaction log and tables of one endpoint.

namespace hyssoprock::endpoint {

/// @brief Applies the replicated log to the tables.
///
/// A replica stores entries when they arrive, which counts towards the majority, and makes them
/// visible to readers after the replication lag.
class Database
{
public:
    /// @param name Name of the endpoint.
    /// @param lag Time from the arrival of an entry to its visibility on a replica.
    /// @param journal Receives the durable changes; must outlive this object.
    Database(std::string name, Duration lag, Journal &journal);

    /// @brief Restores the content of the journal. Must be called before any other function.
    void restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries);

    /// @copydoc ReplicationState::fence
    [[nodiscard]] Result<LogPosition> fence(std::uint64_t term);
    /// @brief See ReplicationState::promote(). All entries become visible immediately.
    [[nodiscard]] Result<LogPosition> promote(std::uint64_t term, std::vector<Voter> voters);
    /// @copydoc ReplicationState::follow
    [[nodiscard]] Result<LogPosition> follow(std::uint64_t term, std::string primary,
                                             std::string address);
    /// @copydoc ReplicationState::changeVoters
    [[nodiscard]] Result<LogPosition> changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                                   std::uint64_t version);
    /// @copydoc ReplicationState::handleFetch
    [[nodiscard]] std::optional<ReplicaEntries> handleFetch(const ReplicaFetch &fetch);
    /// @brief Handles the primary's answer to replication().makeFetch().
    /// @return Whether the answer was accepted.
    bool handleEntries(const ReplicaEntries &answer, Instant now);

    /// @brief Makes entries visible whose replication lag has elapsed.
    void applyDue(Instant now);
    /// @brief Time of the next call of applyDue(); std::nullopt if no entry is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;
    /// @brief Sets the replication lag, also for entries that have already arrived.
    void setLag(Duration lag) noexcept { lag_ = lag; }

    /// @brief Commits a transaction.
    /// @param changes Inserted rows have provisional numbers from firstProvisionalRow upwards,
    /// which are replaced by final ones.
    /// @param term Term of the first change of the transaction.
    /// @return Position of the entry, or ReadOnlyEndpoint if this is no longer the primary of the
    /// term.
    [[nodiscard]] Result<LogPosition> commit(std::vector<RowChange> changes, std::uint64_t term);

    /// @brief Locks a table for updates and deletes by one session.
    /// @param table Name of the table.
    /// @param owner Number of the session.
    /// @return False if another session holds the lock.
    [[nodiscard]] bool lockTable(const std::string &table, std::uint64_t owner);
    /// @brief Releases all table locks of a session.
    void unlockTables(std::uint64_t owner);

    /// @brief Position of the newest entry that is visible to readers.
    [[nodiscard]] LogPosition visiblePosition() const noexcept;
    [[nodiscard]] const ReplicationState &replication() const noexcept { return replication_; }
    [[nodiscard]] const TableStore &tables() const noexcept { return tables_; }

    /// @brief First row number of rows that an open transaction has inserted.
    static constexpr std::uint64_t firstProvisionalRow = std::uint64_t{1} << 63U;

private:
    struct Arrival
    {
        Instant arrivedAt;
        std::uint64_t index;
    };

    void applyUpTo(std::uint64_t index);

    ReplicationState replication_;
    TableStore tables_;
    Duration lag_;
    std::uint64_t visibleIndex_ = 0;
    std::deque<Arrival> arrivals_;
    std::map<std::string, std::uint64_t> locks_; ///< Owning session by table.
};

} // namespace hyssoprock::endpoint
