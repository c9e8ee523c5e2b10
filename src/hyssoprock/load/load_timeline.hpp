#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/load/latency_histogram.hpp>
#include <hyssoprock/load/load_session.hpp>

/// @file
/// @brief Statistics of a run over time.

namespace hyssoprock::load {

/// @brief Statistics of the requests whose response arrived within one interval.
struct IntervalStatistics
{
    std::map<Outcome, std::uint64_t> outcomes; ///< Number of requests by outcome.
    LatencyHistogram latency;                  ///< Of Done requests, from the scheduled time.
    std::uint64_t allowStaleReads = 0;   ///< Reads that allow stale data and whose server is known.
    std::uint64_t replicaReads = 0;      ///< Those of allowStaleReads served by replicas.
    std::uint64_t activeSessionsMax = 0; ///< Maximum number of sessions with a pending request.
    std::map<std::string, std::uint64_t> errors; ///< Requests by SQLSTATE and message.
};

/// @brief Interval without an acknowledged probe write of a group.
struct WriteGap
{
    std::string group;
    Duration startOffset{0}; ///< Start of the gap, relative to the start of the run.
    Duration length{};
};

/// @brief Collects statistics by interval. Does no I/O.
class LoadTimeline
{
public:
    /// @brief Divides the run into at most 300 intervals of whole seconds.
    /// @param start Start of the run.
    /// @param length Length of the run.
    LoadTimeline(Instant start, Duration length);

    /// @brief Adds a completed request to the interval of its response.
    /// @param result Result of the request.
    /// @param latency Time from the scheduled time to the response.
    void add(const OperationResult &result, Duration latency);
    /// @brief Records the number of sessions with a pending request.
    void recordActiveSessions(std::uint64_t count, Instant now);
    /// @brief Records an interval without an acknowledged write; ignored if under 200 ms.
    /// @param group Name of the group.
    /// @param from Last acknowledgement before it.
    /// @param until First acknowledgement after it, or the end of the run.
    void recordGap(const std::string &group, Instant from, Instant until);

    /// @brief Length of each interval.
    [[nodiscard]] Duration interval() const noexcept { return interval_; }
    /// @brief Statistics by interval, from the start of the run.
    [[nodiscard]] const std::vector<IntervalStatistics> &intervals() const noexcept
    {
        return intervals_;
    }
    /// @brief Gaps of at least 200 ms, in recorded order.
    [[nodiscard]] const std::vector<WriteGap> &gaps() const noexcept { return gaps_; }

private:
    [[nodiscard]] IntervalStatistics &intervalAt(Instant now);

    Instant start_;
    Duration interval_;
    std::vector<IntervalStatistics> intervals_{};
    std::vector<WriteGap> gaps_{};
};

} // namespace hyssoprock::load
