#include <hyssoprock/endpoint/table_store.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock::endpoint {

Value valueOf(const Row &row, std::string_view column)
{
    const auto found = row.find(column);
    return found == row.end() ? std::nullopt : found->second;
}

bool matchesAll(const Row &row, const std::vector<Match> &matches)
{
    return std::all_of(matches.begin(), matches.end(), [&row](const Match &match) {
        return match.value && valueOf(row, match.column) == match.value;
    });
}

const Table::Index &Table::ensureIndex(const std::string &column) const
{
    const auto [found, created] = indexes_.try_emplace(column);
    if (created) {
        for (const auto &[number, row] : rows_) {
            if (const auto value = valueOf(row, column)) {
                found->second[*value].insert(number);
            }
        }
    }
    return found->second;
}

std::vector<std::uint64_t> Table::find(const std::vector<Match> &matches) const
{
    std::vector<std::uint64_t> found;
    if (matches.empty()) {
        for (const auto &[number, row] : rows_) {
            found.push_back(number);
        }
        return found;
    }
    if (!matches.front().value) {
        return found;
    }
    const auto &index = ensureIndex(matches.front().column);
    const auto candidates = index.find(*matches.front().value);
    if (candidates == index.end()) {
        return found;
    }
    for (const auto number : candidates->second) {
        if (matchesAll(rows_.at(number), matches)) {
            found.push_back(number);
        }
    }
    return found;
}

const Row *Table::row(std::uint64_t number) const
{
    const auto found = rows_.find(number);
    return found == rows_.end() ? nullptr : &found->second;
}

void Table::addToIndexes(std::uint64_t number, const Row &row)
{
    for (auto &[column, index] : indexes_) {
        if (const auto value = valueOf(row, column)) {
            index[*value].insert(number);
        }
    }
}

void Table::removeFromIndexes(std::uint64_t number, const Row &row)
{
    for (auto &[column, index] : indexes_) {
        const auto value = valueOf(row, column);
        if (!value) {
            continue;
        }
        const auto found = index.find(*value);
        found->second.erase(number);
        if (found->second.empty()) {
            index.erase(found);
        }
    }
}

void Table::assign(Row &row, const RowChange &change)
{
    for (const auto &[column, value] : change.values) {
        if (std::find(columns_.begin(), columns_.end(), column) == columns_.end()) {
            columns_.push_back(column);
        }
        row[column] = value;
    }
}

void Table::apply(const RowChange &change)
{
    const auto found = rows_.find(change.row);
    if (change.kind == RowChangeKind::Insert) {
        auto &row = rows_[change.row];
        assign(row, change);
        nextRowNumber_ = std::max(nextRowNumber_, change.row + 1);
        addToIndexes(change.row, row);
    } else if (found != rows_.end()) {
        removeFromIndexes(change.row, found->second);
        if (change.kind == RowChangeKind::Delete) {
            rows_.erase(found);
        } else {
            assign(found->second, change);
            addToIndexes(change.row, found->second);
        }
    }
}

const Table *TableStore::find(std::string_view name) const
{
    const auto found = tables_.find(name);
    return found == tables_.end() ? nullptr : &found->second;
}

void TableStore::apply(const TransactionEntry &entry)
{
    for (const auto &change : entry.changes) {
        tables_[change.table].apply(change);
    }
}

} // namespace hyssoprock::endpoint
