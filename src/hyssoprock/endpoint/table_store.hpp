#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssoprock/message/replication.hpp>

/// @file
/// @brief In-memory tables of committed rows.

namespace hyssoprock::endpoint {

/// @brief Value in text form; std::nullopt for NULL.
using Value = std::optional<std::string>;

/// @brief Values by column; a missing column is NULL.
using Row = std::map<std::string, Value, std::less<>>;

/// @brief Condition column = value with parameters resolved.
struct Match
{
    std::string column;
    Value value; ///< NULL matches no row.
};

/// @brief Value of a column.
/// @return NULL if the row does not have the column.
[[nodiscard]] Value valueOf(const Row &row, std::string_view column);

/// @brief Whether a row satisfies all conditions.
[[nodiscard]] bool matchesAll(const Row &row, const std::vector<Match> &matches);

/// @brief Rows of one table, with an index for each searched column.
class Table
{
public:
    /// @brief Numbers of the rows that satisfy all conditions, in ascending order.
    [[nodiscard]] std::vector<std::uint64_t> find(const std::vector<Match> &matches) const;

    /// @brief Row with a number.
    /// @return nullptr if there is none.
    [[nodiscard]] const Row *row(std::uint64_t number) const;

    /// @brief Column names in the order of their first use.
    [[nodiscard]] const std::vector<std::string> &columns() const noexcept { return columns_; }

    /// @brief Number for the next inserted row.
    [[nodiscard]] std::uint64_t nextRowNumber() const noexcept { return nextRowNumber_; }

    /// @brief Applies a committed change.
    void apply(const RowChange &change);

private:
    using Index = std::unordered_map<std::string, std::set<std::uint64_t>>;

    void addToIndexes(std::uint64_t number, const Row &row);
    void removeFromIndexes(std::uint64_t number, const Row &row);
    void assign(Row &row, const RowChange &change);
    const Index &ensureIndex(const std::string &column) const;

    std::vector<std::string> columns_;
    std::map<std::uint64_t, Row> rows_;
    std::uint64_t nextRowNumber_ = 1;
    /// Created when a column is first searched, so that searches do not scan the table.
    mutable std::map<std::string, Index> indexes_;
};

/// @brief All tables of an endpoint.
class TableStore
{
public:
    /// @brief Table with a name.
    /// @return nullptr if no change of it has been applied.
    [[nodiscard]] const Table *find(std::string_view name) const;

    /// @brief Applies a committed transaction.
    void apply(const TransactionEntry &entry);

    /// @brief Removes all tables.
    void clear() { tables_.clear(); }

private:
    std::map<std::string, Table, std::less<>> tables_;
};

} // namespace hyssoprock::endpoint
