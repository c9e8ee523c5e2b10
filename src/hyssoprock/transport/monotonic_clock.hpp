#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief The only place where a clock is read.

namespace hyssoprock {

/// @brief Reads this process's monotonic clock.
///
/// CLOCK_BOOTTIME, because the steady clock stands still while the machine is suspended: a lease
/// or an age would then seem younger than it is.
/// @return Now.
[[nodiscard]] inline Instant monotonicNow() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{std::chrono::duration_cast<Duration>(std::chrono::seconds{time.tv_sec}
                                                        + std::chrono::nanoseconds{time.tv_nsec})};
}

/// @brief Time left until a point, for timers of Boost.Asio, which run on the steady clock. The two
/// clocks have different origins, so a point must not be converted directly.
/// @param deadline Any point.
/// @return Never negative.
[[nodiscard]] inline Duration remainingUntil(Instant deadline) noexcept
{
    return std::max(deadline - monotonicNow(), Duration::zero());
}

} // namespace hyssoprock
