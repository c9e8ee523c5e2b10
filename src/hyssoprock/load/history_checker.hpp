#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <hyssoprock/load/history.hpp>

/// @file
/// @brief Compares the history of a run with the promises P1 to P6.

namespace hyssoprock::load {

/// @brief Collects requests and finds broken promises. Has no I/O.
///
/// Promises, by the names that Violation uses:
/// - "read-your-writes": a read sees what its session had acknowledged before it was sent;
/// - "monotonic reads": a read sees what an earlier read of its session saw;
/// - "read age": a read sees what was acknowledged to anybody longer ago than its age allowance;
/// - "whole answers": rows belong to the writer asked for, are known, complete and not doubled;
/// - "transactions": rows of a transaction are seen together;
/// - "not run": what was refused as not run is never seen;
/// - "lost write", "doubled write": rows in the end.
class HistoryChecker
{
public:
    /// @brief Adds a finished request. Requests of one session must be added in order.
    void add(RequestRecord record);

    /// @brief Checks everything that was added.
    /// @param finalRows All rows of each group, read from its primary after the last request.
    /// @return The violations, at most limit of each promise.
    [[nodiscard]] std::vector<Violation>
    finish(const std::map<std::string, std::vector<StoredRow>> &finalRows);

    /// @brief Number of requests.
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

    /// @brief Largest number of reported violations of one promise.
    static constexpr std::uint64_t limit = 20;

private:
    void indexWrites();
    void checkRead(const RequestRecord &read);
    void checkReadRows(const RequestRecord &read, std::set<std::string> &ids);
    void checkAge(const RequestRecord &read, const std::set<std::string> &ids);
    void checkSession(const RequestRecord &read, const std::set<std::string> &ids);
    void checkTogether(const std::vector<StoredRow> &rows, const std::string &where);
    void checkFinal(const std::map<std::string, std::vector<StoredRow>> &finalRows);
    void report(const std::string &promise, std::string detail);

    std::vector<RequestRecord> records_;
    std::unordered_map<std::string, const RequestRecord *> writeOf_; ///< By row id.
    /// Acknowledged rows by group and writer, in order of the answer.
    std::map<std::pair<std::string, std::string>, std::vector<std::pair<Instant, std::string>>>
        acknowledged_;
    /// Rows that a session has seen, by group, session and writer.
    std::map<std::vector<std::string>, std::set<std::string>> seen_;
    std::map<std::string, std::uint64_t> reported_;
    std::vector<Violation> violations_;
};

} // namespace hyssoprock::load
