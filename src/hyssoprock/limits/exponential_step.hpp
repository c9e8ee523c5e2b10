#pragma once

#include <algorithm>
#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Exponential backoff.

namespace hyssoprock {

/// @brief Delay that doubles with each repetition, up to a bound.
/// @param first Delay without a repetition.
/// @param repetitions Number of previous failures or attempts.
/// @param doublingsMax Greatest number of doublings; below 32.
/// @return first * 2^min(repetitions, doublingsMax).
[[nodiscard]] constexpr Duration exponentialBackoff(Duration first, std::uint32_t repetitions,
                                                    std::uint32_t doublingsMax) noexcept
{
    return first * (std::int64_t{1} << std::min(repetitions, doublingsMax));
}

} // namespace hyssoprock
