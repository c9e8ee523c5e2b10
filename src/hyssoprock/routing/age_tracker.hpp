#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Upper bound of the age of data, measured on this host's clock.

namespace hyssoprock {

/// @brief Samples of primaries' positions.
///
/// A sample (t, p) states that at time t the primary's log ended at or before p. Data at a position
/// of at least p therefore includes everything that was written before t.
class AgeTracker
{
public:
    static constexpr std::size_t samplesMax = 256; ///< Bound per group.

    /// @brief Records a sample. Requires that the lease was valid when the request was sent and
    /// when it was answered, and that the view named the endpoint primary of the position's term.
    /// @param group Name of the group.
    /// @param sentAt When the request was sent.
    /// @param position Position in the answer.
    void recordSample(std::string_view group, Instant sentAt, const LogPosition &position);

    /// @brief Newest time up to which data at a position is complete; empty if no sample proves
    /// any.
    [[nodiscard]] std::optional<Instant> completeUntil(std::string_view group,
                                                       const LogPosition &position) const;

    /// @brief Estimated time at which the primary reached a position.
    /// @return Send time of the first sample that reaches it; empty if none does.
    [[nodiscard]] std::optional<Instant> reachedAt(std::string_view group,
                                                   const LogPosition &position) const;

    /// @brief Upper bound of the age of data at a position.
    /// @return now - completeUntil(); empty if that is empty.
    [[nodiscard]] std::optional<Duration> age(std::string_view group, const LogPosition &position,
                                              Instant now) const;

    /// @brief Requests polls of a group, at a quarter of the allowance, for the next seconds.
    /// @param allowance Greatest age that a read accepts.
    void requestSamples(std::string_view group, Duration allowance, Instant now);

    /// @brief Groups whose primary must be polled for its position now. Polling a returned group is
    /// next due after its poll interval.
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief When takePolls() is due next.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Number of samples held for a group.
    [[nodiscard]] std::size_t sampleCount(std::string_view group) const;

private:
    struct Sample
    {
        Instant sentAt{};
        LogPosition position{};
    };

    struct Group
    {
        std::vector<Sample> samples{}; ///< Strictly ascending in both members.
        Duration pollInterval{};       ///< 0 if no polls are requested.
        Instant wantedUntil{};
        Instant nextPollAt{};
    };

    std::map<std::string, Group, std::less<>> groups_;
};

} // namespace hyssoprock
