#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/load/latency_histogram.hpp>
#include <hyssoprock/load/load_session.hpp>

/// @file
/// @brief Figures of a run over time.

namespace hyssoprock::load {

/// @brief Figures of the requests that were answered within one interval.
struct IntervalFigures
{
    std::map<Outcome, std::uint64_t> outcomes; ///< Requests by outcome.
    LatencyHistogram latency;                  ///< Of Done, from the scheduled time.
    std::uint64_t agedReads = 0;    ///< Reads with an age allowance whose server is known.
    std::uint64_t replicaReads = 0; ///< Those of them that replicas served.
    std::uint64_t sessionsUsed = 0; ///< Most sessions with a request under way.
    std::map<std::string, std::uint64_t> errors; ///< Requests by SQLSTATE and message.
};

/// @brief Time without an acknowledged probe write of a group.
struct WriteGap
{
    std::string group; ///< Group.
    Duration at{0};    ///< Its begin, from the start of the run.
    Duration length{}; ///< Its length.
};

/// @brief Collects figures by interval. Has no I/O.
class LoadTimeline
{
public:
    /// @brief Chooses whole seconds as the interval, so that a run has at most 300.
    /// @param start Start of the run.
    /// @param length Length of the run.
    LoadTimeline(Instant start, Duration length);

    /// @brief Adds a finished request.
    /// @param latency From the time for which it was scheduled.
    void add(const StepResult &result, Duration latency);
    /// @brief Notes how many sessions have a request under way.
    void noteSessions(std::uint64_t used, Instant now);
    /// @brief Notes a time without an acknowledged write; short ones are left out.
    /// @param group Group.
    /// @param from Last acknowledgement before it.
    /// @param until First acknowledgement after it, or the end of the run.
    void noteGap(const std::string &group, Instant from, Instant until);

    /// @brief Length of an interval.
    [[nodiscard]] Duration interval() const noexcept { return interval_; }
    /// @brief Figures by interval from the start on.
    [[nodiscard]] const std::vector<IntervalFigures> &intervals() const noexcept
    {
        return intervals_;
    }
    /// @brief Gaps of at least 200 ms, in the order in which they ended.
    [[nodiscard]] const std::vector<WriteGap> &gaps() const noexcept { return gaps_; }

private:
    [[nodiscard]] IntervalFigures &at(Instant now);

    Instant start_;
    Duration interval_;
    std::vector<IntervalFigures> intervals_{};
    std::vector<WriteGap> gaps_{};
};

} // namespace hyssoprock::load
