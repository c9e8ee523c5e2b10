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
/// @brief Provable age of data, on this host's own clock.

namespace hyssoprock {

/// @brief Samples of primaries' positions.
///
/// A sample (t, p) says that at t the primary's log did not go beyond p, so data at a position of
/// at least p lacks nothing that was written before t.
class AgeTracker
{
public:
    static constexpr std::size_t samplesMax = 256; ///< Bound for each group.

    /// @brief Records a sample. The caller has made sure that the lease was valid at both times and
    /// that the view named the answering endpoint primary of the position's term.
    /// @param group Group.
    /// @param sent When the request was sent.
    /// @param position Position in the answer.
    void recordSample(std::string_view group, Instant sent, const LogPosition &position);

    /// @brief Newest time up to which data at a position is complete.
    /// @return The time, or nothing if it cannot be proven.
    [[nodiscard]] std::optional<Instant> completeUntil(std::string_view group,
                                                       const LogPosition &position) const;

    /// @brief When a primary is known to have reached a position: an estimate, not a proof.
    /// @return Sending time of the first sample that reaches it, or nothing.
    [[nodiscard]] std::optional<Instant> reachedAt(std::string_view group,
                                                   const LogPosition &position) const;

    /// @brief Provable age of data at a position.
    /// @return now - completeUntil, or nothing.
    [[nodiscard]] std::optional<Duration> age(std::string_view group, const LogPosition &position,
                                              Instant now) const;

    /// @brief Notes that a read with this allowance wants fresh samples of a group.
    void requestSamples(std::string_view group, Duration allowance, Instant now);

    /// @brief Groups whose primary must be asked for its position now, because reads want samples
    /// and the newest is older than a quarter of their allowance. Each call counts as a poll.
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief When takePolls() is due next.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Number of samples held for a group.
    [[nodiscard]] std::size_t sampleCount(std::string_view group) const;

private:
    struct Sample
    {
        Instant sent{};
        LogPosition position{};
    };

    struct Group
    {
        std::vector<Sample> samples{}; ///< Both members rise strictly along the list.
        Duration pollInterval{};       ///< 0 if no read wants samples.
        Instant wantedUntil{};
        Instant nextPoll{};
    };

    std::map<std::string, Group, std::less<>> groups_;
};

} // namespace hyssoprock
