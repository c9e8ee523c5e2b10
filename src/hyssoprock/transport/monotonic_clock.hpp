#pragma once

#include <chrono>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief The only place where a clock is read.

namespace hyssoprock {

/// @brief Reads this process's monotonic clock.
/// @return Now.
[[nodiscard]] inline Instant monotonicNow() noexcept
{
    return Instant{
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// @brief Same point in the form that timers of Boost.Asio take.
/// @param instant Any point.
/// @return The point on the steady clock.
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(Instant instant) noexcept
{
    return std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            instant.time_since_epoch())};
}

} // namespace hyssoprock
