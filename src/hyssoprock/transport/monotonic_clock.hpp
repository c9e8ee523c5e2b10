#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Monotonic clock; the only place where a clock is read.

namespace hyssoprock {

/// @brief Current time of the monotonic clock.
///
/// Uses CLOCK_BOOTTIME because the steady clock stops while the machine is suspended, which would
/// make leases and ages appear younger than they are.
[[nodiscard]] inline Instant monotonicNow() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{std::chrono::duration_cast<Duration>(std::chrono::seconds{time.tv_sec}
                                                        + std::chrono::nanoseconds{time.tv_nsec})};
}

/// @brief Time remaining until a deadline, for the timers of Boost.Asio, which use the steady
/// clock. The two clocks have different epochs, so a deadline must not be converted directly.
/// @param deadline Time of monotonicNow()'s clock.
/// @return Remaining time; zero if the deadline has passed.
[[nodiscard]] inline Duration remainingUntil(Instant deadline) noexcept
{
    return std::max(deadline - monotonicNow(), Duration::zero());
}

} // namespace hyssoprock
