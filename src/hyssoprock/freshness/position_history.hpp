#pragma once

#include <deque>
#include <optional>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Which log position a read has to demand so that it is fresh enough.

namespace hyssoprock {

/// @brief Positions that the primary of one service has reported, by the time of the request.
///
/// A position that a proven primary reports in answer to a request covers every commit that was
/// acknowledged before the request was sent.
class PositionHistory
{
public:
    /// @brief Adds a sample.
    /// @param sentAt When the request was sent that the primary answered.
    /// @param position End of the primary's log in its answer.
    ///
    /// A sample of a lower term than the newest is ignored. The first one of a higher term replaces
    /// all others: positions of the old term may not exist on any endpoint any more.
    void add(Instant sentAt, LogPosition position);

    /// @brief Position that covers every commit acknowledged up to an age ago.
    /// @param now Present time.
    /// @param staleness The age.
    /// @return The lowest such position that is known, or nothing if none is.
    [[nodiscard]] std::optional<LogPosition> requiredPosition(Instant now,
                                                              Duration staleness) const;

    /// @brief Translates the position of a commit into the newest term.
    /// @param position Position that the commit was acknowledged with.
    /// @return The same position, or the first one reported in a higher term, which covers all
    /// commits of lower terms that still exist.
    [[nodiscard]] LogPosition translateToNewestTerm(LogPosition position) const;

    /// @brief When the newest sample was taken.
    /// @return Nothing without a sample.
    [[nodiscard]] std::optional<Instant> newestSampleAt() const;

    /// @brief Newest term that a primary has proven.
    [[nodiscard]] std::uint64_t term() const noexcept { return termStart_.term; }

private:
    /// @brief One answer of a primary.
    struct Sample
    {
        Instant sentAt;       ///< When the request was sent.
        LogPosition position; ///< What the answer said.
    };

    std::deque<Sample> samples_; ///< By time; positions never fall.
    LogPosition termStart_;      ///< First position reported in the newest term.
};

} // namespace hyssoprock
