#pragma once

#include <algorithm>
#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Exponential growth of pauses, ejections and backoffs.

namespace hyssoprock {

/// @brief A time that doubles with each repetition, up to a bound.
/// @param first Time without a repetition.
/// @param repetitions Failures or attempts so far.
/// @param doublingsMax Number of doublings at most; below 32.
/// @return first * 2^min(repetitions, doublingsMax).
[[nodiscard]] constexpr Duration exponentialBackoff(Duration first, std::uint32_t repetitions,
                                                    std::uint32_t doublingsMax) noexcept
{
    return first * (std::int64_t{1} << std::min(repetitions, doublingsMax));
}

} // namespace hyssoprock
