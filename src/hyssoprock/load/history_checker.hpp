#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <hyssoprock/load/history.hpp>

/// @file
/// @brief Checks the history of a run against the consistency guarantees P1 to P6.

namespace hyssoprock::load {

/// @brief Collects requests and reports violated guarantees. Does no I/O.
///
/// Guarantees, by the names used in Violation:
/// - "read-your-writes": a read returns all writes of its session that were acknowledged before
///   the read was sent;
/// - "monotonic reads": a read returns every row that an earlier read of its session returned;
/// - "read age": a read returns the writes of all sessions that were acknowledged more
///   than its maximum age before it was sent;
/// - "whole answers": every returned row was written by the requested writer, with the
///   same content;
/// - "transactions": all rows of a transaction become visible together;
/// - "not run": a write reported as not run is never visible;
/// - "lost write": an acknowledged write is among the final rows;
/// - "doubled write": no row is returned or stored twice.
class HistoryChecker
{
public:
    /// @brief Adds a finished request. Requests of one session must be added in order.
    void add(RequestRecord record);

    /// @brief Checks all added requests.

    /// @param finalRows All rows of each group, read from its primary after the last request.
    /// @return At most violationsPerGuaranteeMax violations of each guarantee.
    [[nodiscard]] std::vector<Violation>
    checkAll(const std::map<std::string, std::vector<StoredRow>> &finalRows);

    /// @brief Number of added requests.

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

    /// @brief Violations of one guarantee beyond this number are not reported.
    static constexpr std::uint64_t violationsPerGuaranteeMax = 20;

private:
    void indexWrites();
    void checkRead(const RequestRecord &read);
    void checkReadRows(const RequestRecord &read, std::set<std::string> &ids);
    void checkRecency(const RequestRecord &read, const std::set<std::string> &ids);
    void checkMonotonicReads(const RequestRecord &read, const std::set<std::string> &ids);
    void checkAtomicity(const std::vector<StoredRow> &rows, const std::string &context);
    void checkFinalRows(const std::map<std::string, std::vector<StoredRow>> &finalRows);
    void report(const std::string &guarantee, std::string detail);

    std::vector<RequestRecord> records_;
    std::unordered_map<std::string, const RequestRecord *> writeByRowId_; ///< By row id.
    /// Acknowledged row ids by group and writer, ordered by response time.
    std::map<std::pair<std::string, std::string>, std::vector<std::pair<Instant, std::string>>>
        acknowledgedRows_;
    /// Row ids returned to a session, by group, session and writer.
    std::map<std::vector<std::string>, std::set<std::string>> seenRows_;
    std::map<std::string, std::uint64_t> reportedCounts_;
    std::vector<Violation> violations_;
};

} // namespace hyssoprock::load
