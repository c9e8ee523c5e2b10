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

/// @brief Collects changes and shows them to their own transaction only.
class Transaction
{
public:
    /// @brief A row that the transaction sees.
    struct VisibleRow
    {
        std::uint64_t number; ///< Provisional for a row of this transaction.
        Row row;              ///< Values.
    };

    /// @brief Rows that fulfil all conditions, with this transaction's changes.
    [[nodiscard]] std::vector<VisibleRow> find(const TableStore &tables, const std::string &table,
                                               const std::vector<Match> &matches) const;

    /// @brief Columns of a table, with those that only this transaction has used so far.
    /// @param committed The table; nullptr if no row of it is committed.
    /// @param table Its name.
    [[nodiscard]] std::vector<std::string> columns(const Table *committed,
                                                   const std::string &table) const;

    /// @brief Adds a row.
    void insert(const std::string &table, std::vector<ColumnValue> values);
    /// @brief Changes a row that find() gave.
    void update(const std::string &table, const VisibleRow &row, std::vector<ColumnValue> values);
    /// @brief Removes a row that find() gave.
    void remove(const std::string &table, const VisibleRow &row);

    /// @brief Whether nothing was changed.
    [[nodiscard]] bool empty() const noexcept { return changes_.empty(); }
    /// @brief Gives up the changes in order, for the log.
    [[nodiscard]] std::vector<RowChange> take() noexcept { return std::exchange(changes_, {}); }

private:
    std::vector<RowChange> changes_;
    /// Rows as this transaction sees them; absent if it deleted them.
    std::map<std::string, std::map<std::uint64_t, std::optional<Row>>> rows_;
    std::uint64_t inserted_ = 0;
};

} // namespace hyssoprock::endpoint
