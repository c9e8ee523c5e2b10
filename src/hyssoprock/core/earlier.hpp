#pragma once

#include <algorithm>
#include <optional>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief The earlier of two deadlines that may be absent.

namespace hyssoprock {

/// @brief Combines deadlines for nextDeadline().
/// @param left First deadline; empty if there is none.
/// @param right Second deadline; empty if there is none.
/// @return Earlier of the present deadlines; std::nullopt if neither is present.
[[nodiscard]] constexpr std::optional<Instant> earlier(const std::optional<Instant> &left,
                                                       const std::optional<Instant> &right) noexcept
{
    if (left && right) {
        return std::min(*left, *right);
    }
    return left ? left : right;
}

} // namespace hyssoprock
