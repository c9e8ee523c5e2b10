#include <hyssoprock/load/history_checker.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock::load {

namespace {

constexpr std::uint64_t fnvPrime = 1099511628211ULL;
constexpr std::uint64_t fnvOffsetBasis = 14695981039346656037ULL;

std::string describe(const RequestRecord &read)
{
    return "read of " + read.targetWriter + " by " + read.session + " sent at "
           + std::to_string(read.sentAt.time_since_epoch().count()) + " us";
}

} // namespace

std::string rowBody(const std::string &id)
{
    std::uint64_t hash = fnvOffsetBasis;
    for (const char character : id) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
    }
    return std::to_string(hash);
}

void HistoryChecker::add(RequestRecord record)
{
    records_.push_back(std::move(record));
}

void HistoryChecker::report(const std::string &guarantee, std::string detail)
{
    if (++reportedCounts_[guarantee] <= violationsPerGuaranteeMax) {
        violations_.push_back({guarantee, std::move(detail)});
    }
}

void HistoryChecker::indexWrites()
{
    for (const auto &record : records_) {
        if (record.kind == RequestKind::Read) {
            continue;
        }
        for (const auto &row : record.rows) {
            writeByRowId_[row.id] = &record;
            if (record.outcome == Outcome::Done) {
                acknowledgedRows_[{record.group, record.session}].emplace_back(record.respondedAt,
                                                                               row.id);
            }
        }
    }
    for (auto &[writer, rows] : acknowledgedRows_) {
        std::sort(rows.begin(), rows.end());
    }
}

void HistoryChecker::checkAtomicity(const std::vector<StoredRow> &rows, const std::string &context)
{
    std::map<std::string, std::set<std::string>> transactions;
    for (const auto &row : rows) {
        transactions[row.transaction].insert(row.id);
    }
    for (const auto &row : rows) {
        const auto &ids = transactions[row.transaction];
        if (ids.size() != row.transactionRowCount) {
            report("transactions", context + ": " + std::to_string(ids.size()) + " of "
                                       + std::to_string(row.transactionRowCount)
                                       + " rows of transaction " + row.transaction);
        }
    }
}

void HistoryChecker::checkReadRows(const RequestRecord &read, std::set<std::string> &ids)
{
    for (const auto &row : read.rows) {
        const auto write = writeByRowId_.find(row.id);
        if (write == writeByRowId_.end()) {
            report("whole answers", describe(read) + ": row " + row.id + " was never written");
            continue;
        }
        const auto &written = write->second->rows;
        if (row.writer != read.targetWriter || write->second->group != read.group
            || std::find(written.begin(), written.end(), row) == written.end()) {
            report("whole answers", describe(read) + ": row " + row.id + " is not as written");
        }
        if (write->second->outcome == Outcome::NotRun) {
            report("not run", describe(read) + ": row " + row.id + " was refused as not run");
        }
        if (!ids.insert(row.id).second) {
            report("doubled write", describe(read) + ": row " + row.id + " came twice");
        }
    }
    checkAtomicity(read.rows, describe(read));
}

void HistoryChecker::checkRecency(const RequestRecord &read, const std::set<std::string> &ids)
{
    const auto rows = acknowledgedRows_.find({read.group, read.targetWriter});
    if (rows == acknowledgedRows_.end()) {
        return;
    }
    for (const auto &[respondedAt, id] : rows->second) {
        if (respondedAt >= read.sentAt) {
            break;
        }
        if (ids.contains(id)) {
            continue;
        }
        if (read.targetWriter == read.session) {
            report("read-your-writes", describe(read) + ": row " + id + " is missing");
        }
        if (respondedAt < read.sentAt - read.maxAge) {
            report("read age", describe(read) + ": row " + id + " was acknowledged "
                                   + std::to_string((read.sentAt - respondedAt).count())
                                   + " us before");
        }
    }
}

void HistoryChecker::checkMonotonicReads(const RequestRecord &read,
                                         const std::set<std::string> &ids)
{
    auto &seen = seenRows_[{read.group, read.session, read.targetWriter}];
    for (const auto &id : seen) {
        if (!ids.contains(id)) {
            report("monotonic reads", describe(read) + ": row " + id + " was seen before");
        }
    }
    seen.insert(ids.begin(), ids.end());
}

void HistoryChecker::checkRead(const RequestRecord &read)
{
    std::set<std::string> ids;
    checkReadRows(read, ids);
    checkRecency(read, ids);
    checkMonotonicReads(read, ids);
}

void HistoryChecker::checkFinalRows(const std::map<std::string, std::vector<StoredRow>> &finalRows)
{
    std::unordered_map<std::string, std::uint64_t> counts;
    for (const auto &[group, rows] : finalRows) {
        for (const auto &row : rows) {
            const auto write = writeByRowId_.find(row.id);
            if (write == writeByRowId_.end()) {
                report("whole answers",
                       "final rows of " + group + ": " + row.id + " was never written");
            } else if (const auto &written = write->second->rows;
                       write->second->group != group
                       || std::find(written.begin(), written.end(), row) == written.end()) {
                report("whole answers",
                       "final rows of " + group + ": " + row.id + " is not as written");
            }
            ++counts[row.id];
        }
        checkAtomicity(rows, "final rows of " + group);
    }
    for (const auto &[id, record] : writeByRowId_) {
        if (!finalRows.contains(record->group)) {
            continue;
        }
        const auto count = counts[id];
        if (count == 0 && record->outcome == Outcome::Done) {
            report("lost write", "row " + id + " was acknowledged to " + record->session);
        }
        if (count > 0 && record->outcome == Outcome::NotRun) {
            report("not run", "row " + id + " was refused as not run and is stored");
        }
        if (count > 1) {
            report("doubled write", "row " + id + " is stored " + std::to_string(count) + " times");
        }
    }
}

std::vector<Violation>
HistoryChecker::checkAll(const std::map<std::string, std::vector<StoredRow>> &finalRows)
{
    indexWrites();
    for (const auto &record : records_) {
        if (record.kind == RequestKind::Read && record.outcome == Outcome::Done) {
            checkRead(record);
        }
    }
    checkFinalRows(finalRows);
    return std::exchange(violations_, {});
}

} // namespace hyssoprock::load
