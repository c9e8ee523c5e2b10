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
/// @brief Figures of a run.

namespace hyssoprock::load {

/// @brief Figures of one kind of request.
struct KindFigures
{
    std::map<Outcome, std::uint64_t> outcomes; ///< Requests by outcome.
    LatencyHistogram latency;                  ///< Of Done, from the scheduled time.
};

/// @brief Figures of one group.
struct GroupFigures
{
    Duration gap{0};             ///< Longest time without an acknowledged probe write.
    std::uint64_t probes = 0;    ///< Acknowledged probe writes.
    std::uint64_t finalRows = 0; ///< Rows read at the end.
    bool checked = false;        ///< Whether the rows could be read at the end.
};

/// @brief Everything that a run gives.
struct LoadReport
{
    std::map<std::string, KindFigures> kinds;      ///< By name of the kind.
    std::map<std::string, std::uint64_t> servedBy; ///< Reads with an age allowance, by server.
    std::map<std::string, std::uint64_t> errors;   ///< Requests by SQLSTATE and message.
    std::map<std::string, GroupFigures> groups;    ///< By group.
    std::vector<Violation> violations;             ///< Broken promises.
    std::vector<IntervalFigures> intervals;        ///< Figures over time.
    Duration interval{0};                          ///< Length of each interval.
    std::vector<WriteGap> gaps;                    ///< Times without an acknowledged probe write.
    std::uint64_t startedUnixMs = 0;               ///< Start of the run by the wall clock.
    std::uint64_t requests = 0;                    ///< Requests in the history.
    std::uint64_t unfinished = 0;                  ///< Requests without an answer at the end.
    std::uint64_t unsent = 0; ///< Arrivals for which no session was free until the end.

    /// @brief Adds a finished request.
    /// @param latency From the time for which it was scheduled.
    void add(const StepResult &result, Duration latency);

    /// @brief Whether all promises were kept and all rows could be checked.
    [[nodiscard]] bool passed() const;
};

/// @brief Writes the table for people.
void writeTable(std::ostream &out, const LoadSettings &settings, const LoadReport &report);

/// @brief Writes JSON lines: one for the run, one for each kind, group, violation, interval and
/// gap.
void writeJson(std::ostream &out, const LoadSettings &settings, const LoadReport &report);

} // namespace hyssoprock::load
