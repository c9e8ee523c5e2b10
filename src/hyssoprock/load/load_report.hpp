#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/load/history_checker.hpp>
#include <hyssoprock/load/latency_histogram.hpp>
#include <hyssoprock/load/load_session.hpp>
#include <hyssoprock/load/load_timeline.hpp>

/// @file
/// @brief Results of a run and their output.

namespace hyssoprock::load {

/// @brief Statistics of one kind of request.
struct KindStatistics
{
    std::map<Outcome, std::uint64_t> outcomes; ///< Number of requests by outcome.
    LatencyHistogram latency;                  ///< Of Done requests, from the scheduled time.
};

/// @brief Statistics of one database group.
struct GroupStatistics
{
    Duration longestWriteGap{0};          ///< Longest interval without an acknowledged probe write.
    std::uint64_t acknowledgedProbes = 0; ///< Number of acknowledged probe writes.
    std::uint64_t finalRowCount = 0;      ///< Number of rows read after the run.
    bool finalRowsRead = false;           ///< Whether the rows could be read after the run.
};

/// @brief Results of a run.
struct LoadReport
{
    std::map<std::string, KindStatistics> kinds;   ///< By kind name.
    std::map<std::string, std::uint64_t> servedBy; ///< Reads that allow stale data, by server.
    std::map<std::string, std::uint64_t> errors;   ///< Requests by SQLSTATE and message.
    std::map<std::string, GroupStatistics> groups; ///< By group name.
    std::vector<Violation> violations;             ///< Violated guarantees.
    std::vector<IntervalStatistics> intervals;     ///< Statistics over time.
    Duration interval{0};                          ///< Length of each interval.
    std::vector<WriteGap> gaps;      ///< Intervals without an acknowledged probe write.
    std::uint64_t startedUnixMs = 0; ///< Start of the run, wall-clock time.
    std::uint64_t requests = 0;      ///< Completed requests, including probe writes.
    std::uint64_t unfinished = 0;    ///< Requests without a response when draining ended.
    std::uint64_t unsent = 0;        ///< Scheduled requests for which no session became idle.

    /// @brief Adds a completed request.

    /// @param latency Time from the scheduled time to the response.
    void add(const OperationResult &result, Duration latency);

    /// @brief Whether no guarantee was violated and the final rows of all groups were checked.
    [[nodiscard]] bool passed() const;
};

/// @brief Writes a human-readable table.
void writeTable(std::ostream &out, const LoadSettings &settings, const LoadReport &report);

/// @brief Writes JSON lines: one for the run, and one for each kind, server, group, error,
/// violation, interval and gap.
void writeJson(std::ostream &out, const LoadSettings &settings, const LoadReport &report);

} // namespace hyssoprock::load
