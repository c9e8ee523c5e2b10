#pragma once

#include <chrono>
#include <cstdint>

/// @file
/// @brief Time as the coordination parts see it: always an argument, never read from a clock.

namespace hyssoprock {

/// @brief Tag for the monotonic clock of a process. It has no now(): only the daemon reads clocks.
struct LocalClock
{};

/// @brief Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Time on a process's monotonic clock. Instants of two processes cannot be compared.
using Instant = std::chrono::time_point<LocalClock, Duration>;

/// @brief Whole milliseconds of a duration, rounded down.
/// @param duration Any duration.
/// @return Milliseconds.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @brief Shortens a duration by the clock drift bound: what a lease holder may rely on.
/// @param duration Granted duration.
/// @param driftPerMille Clock drift bound, in thousandths.
/// @return The shorter duration.
[[nodiscard]] constexpr Duration shortenedByDrift(Duration duration,
                                                  std::uint64_t driftPerMille) noexcept
{
    return duration * (1000 - static_cast<std::int64_t>(driftPerMille)) / 1000;
}

/// @brief Lengthens a duration by the clock drift bound: what a lease grantor must wait for.
/// @param duration Granted duration.
/// @param driftPerMille Clock drift bound, in thousandths.
/// @return The longer duration.
[[nodiscard]] constexpr Duration lengthenedByDrift(Duration duration,
                                                   std::uint64_t driftPerMille) noexcept
{
    return duration * (1000 + static_cast<std::int64_t>(driftPerMille)) / 1000;
}

} // namespace hyssoprock
