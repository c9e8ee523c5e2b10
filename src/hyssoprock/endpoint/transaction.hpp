#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/endpoint/table_store.hpp>

/// @file
/// @brief Uncommitted changes of one transaction.

namespace hyssoprock::endpoint {

/// @brief Collects changes, which only the transaction itself sees until the commit.
class Transaction
{
public:
    /// @brief Row that is visible to the transaction.
    struct VisibleRow
    {
        std::uint64_t number; ///< Provisional if this transaction inserted the row.
        Row row;
    };

    /// @brief Rows that satisfy all conditions, including this transaction's changes.
    [[nodiscard]] std::vector<VisibleRow> find(const TableStore &tables, const std::string &table,
                                               const std::vector<Match> &matches) const;

    /// @brief Columns of a table, including those that only this transaction has used.
    /// @param committed Committed rows; nullptr if there are none.
    /// @param table Name of the table.
    [[nodiscard]] std::vector<std::string> columns(const Table *committed,
                                                   const std::string &table) const;

    /// @brief Inserts a row.
    void insert(const std::string &table, std::vector<ColumnValue> values);
    /// @brief Updates a row that find() returned.
    void update(const std::string &table, const VisibleRow &row, std::vector<ColumnValue> values);
    /// @brief Deletes a row that find() returned.
    void remove(const std::string &table, const VisibleRow &row);

    /// @brief Whether the transaction has no changes.
    [[nodiscard]] bool empty() const noexcept { return changes_.empty(); }
    /// @brief Moves the changes out, in the order in which they were made.
    [[nodiscard]] std::vector<RowChange> takeChanges() noexcept
    {
        return std::exchange(changes_, {});
    }

private:
    std::vector<RowChange> changes_;
    /// Changed rows by table and number; std::nullopt for deleted rows.
    std::map<std::string, std::map<std::uint64_t, std::optional<Row>>> rows_;
    std::uint64_t insertedCount_ = 0;
};

} // namespace hyssoprock::endpoint
