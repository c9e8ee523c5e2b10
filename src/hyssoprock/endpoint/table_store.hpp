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
/// @brief Committed rows in memory.

namespace hyssoprock::endpoint {

/// @brief Value in text form; absent for NULL.
using Value = std::optional<std::string>;

/// @brief Values by column; a missing column is NULL.
using Row = std::map<std::string, Value, std::less<>>;

/// @brief column = value, with all parameters filled in.
struct Match
{
    std::string column; ///< Column.
    Value value;        ///< NULL equals nothing.
};

/// @brief Value of a row's column.
/// @return NULL if the row does not have the column.
[[nodiscard]] Value valueOf(const Row &row, std::string_view column);

/// @brief Whether a row fulfils all conditions.
[[nodiscard]] bool matchesAll(const Row &row, const std::vector<Match> &matches);

/// @brief One table.
class Table
{
public:
    /// @brief Numbers of the rows that fulfil all conditions, in ascending order.
    [[nodiscard]] std::vector<std::uint64_t> find(const std::vector<Match> &matches) const;

    /// @brief A row.
    /// @return Nothing if there is none with this number.
    [[nodiscard]] const Row *row(std::uint64_t number) const;

    /// @brief Columns in the order in which they were first used.
    [[nodiscard]] const std::vector<std::string> &columns() const noexcept { return columns_; }

    /// @brief Number that the next inserted row gets.
    [[nodiscard]] std::uint64_t nextRow() const noexcept { return nextRow_; }

    /// @brief Applies a committed change to this table.
    void apply(const RowChange &change);

private:
    using Index = std::unordered_map<std::string, std::set<std::uint64_t>>;

    void addToIndexes(std::uint64_t number, const Row &row);
    void removeFromIndexes(std::uint64_t number, const Row &row);
    void assign(Row &row, const RowChange &change);
    const Index &indexOf(const std::string &column) const;

    std::vector<std::string> columns_;
    std::map<std::uint64_t, Row> rows_;
    std::uint64_t nextRow_ = 1;
    /// Made when a column is first searched, so that a growing table is not scanned each time.
    mutable std::map<std::string, Index> indexes_;
};

/// @brief All tables of an endpoint.
class TableStore
{
public:
    /// @brief Looks up a table.
    /// @return Nothing if no row was ever inserted into it.
    [[nodiscard]] const Table *find(std::string_view name) const;

    /// @brief Applies a committed transaction.
    void apply(const TransactionEntry &entry);

    /// @brief Removes everything.
    void clear() { tables_.clear(); }

private:
    std::map<std::string, Table, std::less<>> tables_;
};

} // namespace hyssoprock::endpoint
