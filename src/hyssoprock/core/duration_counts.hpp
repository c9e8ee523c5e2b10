#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Histogram of durations.

namespace hyssoprock {

/// @brief Histogram of durations with fixed buckets.
struct DurationHistogram
{
    /// @brief Inclusive upper bounds of the buckets; the last bucket is unbounded.
    static constexpr std::array<Duration, 15> bounds{
        std::chrono::milliseconds{1},    std::chrono::milliseconds{2},
        std::chrono::milliseconds{5},    std::chrono::milliseconds{10},
        std::chrono::milliseconds{20},   std::chrono::milliseconds{50},
        std::chrono::milliseconds{100},  std::chrono::milliseconds{200},
        std::chrono::milliseconds{500},  std::chrono::milliseconds{1000},
        std::chrono::milliseconds{1500}, std::chrono::milliseconds{2000},
        std::chrono::milliseconds{3000}, std::chrono::milliseconds{5000},
        std::chrono::milliseconds{12000}};

    std::array<std::uint64_t, bounds.size() + 1> counts{}; ///< Durations in each bucket.
    Duration sum{};                                        ///< Sum of all durations.

    /// @brief Adds a duration to its bucket.
    constexpr void add(Duration duration) noexcept
    {
        const auto *const bucket = std::lower_bound(bounds.begin(), bounds.end(), duration);
        ++counts[static_cast<std::size_t>(bucket - bounds.begin())];
        sum += duration;
    }

    [[nodiscard]] bool operator==(const DurationHistogram &) const = default;
};

} // namespace hyssoprock
