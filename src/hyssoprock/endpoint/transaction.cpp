#include <hyssoprock/endpoint/transaction.hpp>

#include <algorithm>

#include <hyssoprock/endpoint/database.hpp>

namespace hyssoprock::endpoint {

std::vector<Transaction::VisibleRow> Transaction::find(const TableStore &tables,
                                                       const std::string &table,
                                                       const std::vector<Match> &matches) const
{
    std::vector<VisibleRow> found;
    const auto ownRows = rows_.find(table);
    if (const auto *committed = tables.find(table)) {
        for (const auto number : committed->find(matches)) {
            if (ownRows == rows_.end() || !ownRows->second.contains(number)) {
                found.push_back({number, *committed->row(number)});
            }
        }
    }
    if (ownRows != rows_.end()) {
        for (const auto &[number, row] : ownRows->second) {
            if (row && matchesAll(*row, matches)) {
                found.push_back({number, *row});
            }
        }
    }
    return found;
}

std::vector<std::string> Transaction::columns(const Table *committed,
                                              const std::string &table) const
{
    auto names = committed == nullptr ? std::vector<std::string>{} : committed->columns();
    for (const auto &change : changes_) {
        if (change.table != table) {
            continue;
        }
        for (const auto &[column, value] : change.values) {
            if (std::find(names.begin(), names.end(), column) == names.end()) {
                names.push_back(column);
            }
        }
    }
    return names;
}

void Transaction::insert(const std::string &table, std::vector<ColumnValue> values)
{
    const auto number = Database::firstProvisionalRow + insertedCount_++;
    Row row;
    for (const auto &[column, value] : values) {
        row[column] = value;
    }
    rows_[table][number] = std::move(row);
    changes_.push_back({RowChangeKind::Insert, table, number, std::move(values)});
}

void Transaction::update(const std::string &table, const VisibleRow &row,
                         std::vector<ColumnValue> values)
{
    auto changed = row.row;
    for (const auto &[column, value] : values) {
        changed[column] = value;
    }
    rows_[table][row.number] = std::move(changed);
    changes_.push_back({RowChangeKind::Update, table, row.number, std::move(values)});
}

void Transaction::remove(const std::string &table, const VisibleRow &row)
{
    rows_[table][row.number] = std::nullopt;
    changes_.push_back({RowChangeKind::Delete, table, row.number, {}});
}

} // namespace hyssoprock::endpoint
