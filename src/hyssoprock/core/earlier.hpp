#pragma once

#include <algorithm>
#include <optional>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief The earlier of two deadlines that may be absent.

namespace hyssoprock {

/// @brief Combines deadlines for nextDeadline().
/// @param left A deadline; nothing if there is none.
/// @param right Another one.
/// @return The earlier one of those that are present.
[[nodiscard]] constexpr std::optional<Instant> earlier(const std::optional<Instant> &left,
                                                       const std::optional<Instant> &right) noexcept
{
    if (left && right) {
        return std::min(*left, *right);
    }
    return left ? left : right;
}

} // namespace hyssoprock
