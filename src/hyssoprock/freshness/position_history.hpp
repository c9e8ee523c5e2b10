#pragma once

#include <deque>
#include <optional>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Log positions that bound the staleness of reads.

namespace hyssoprock {

/// @brief Positions that the primary of one service has reported, by the time of the request.
///
/// A position that a confirmed primary returns for a request covers every commit that was
/// acknowledged before the request was sent.
class PositionHistory
{
public:
    /// @brief Adds a sample.
    /// @param sentAt When the request to the primary was sent.
    /// @param position End of the primary's log, from its answer.
    ///
    /// A sample of a lower term than the newest is ignored. The first one of a higher term replaces
    /// all others, because positions of the old term may no longer exist on any endpoint.
    void add(Instant sentAt, LogPosition position);

    /// @brief Position that an endpoint must hold to serve a read of bounded staleness.
    /// @param now Current time.
    /// @param staleness Age up to which acknowledged commits may be missing.
    /// @return The lowest known position that covers all older commits; empty if none does.
    [[nodiscard]] std::optional<LogPosition> requiredPosition(Instant now,
                                                              Duration staleness) const;

    /// @brief Translates the position of a commit into the newest term.
    /// @param position Position that the commit was acknowledged with.
    /// @return The same position if its term is not older; otherwise the first one reported in the
    /// newest term, which covers all commits of older terms that still exist.
    [[nodiscard]] LogPosition translateToNewestTerm(LogPosition position) const;

    /// @brief When the request of the newest sample was sent; empty without a sample.
    [[nodiscard]] std::optional<Instant> newestSampleAt() const;

    /// @brief Term of the newest sample; 0 without one.
    [[nodiscard]] std::uint64_t term() const noexcept { return termStart_.term; }

private:
    /// @brief Position from one answer of a primary.
    struct Sample
    {
        Instant sentAt;       ///< When the request was sent.
        LogPosition position; ///< End of the primary's log.
    };

    std::deque<Sample> samples_; ///< By time; positions do not decrease.
    LogPosition termStart_;      ///< First position reported in the newest term.
};

} // namespace hyssoprock
