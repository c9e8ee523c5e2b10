#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Latency percentiles in constant memory.

namespace hyssoprock::load {

/// @brief Histogram with logarithmic buckets; a bucket is at most 1/32 of its value wide.
class LatencyHistogram
{
public:
    /// @brief Adds a duration; a negative one counts as 0.
    void add(Duration duration) noexcept;

    /// @brief Percentile of the added durations.
    /// @param permille Percentile in thousandths, 0 to 1000.
    /// @return Upper bound of the bucket, at most longest(); 0 if the histogram is empty.
    [[nodiscard]] Duration percentile(std::uint32_t permille) const noexcept;

    /// @brief Number of added durations.

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    /// @brief Longest added duration, not rounded to a bucket.
    [[nodiscard]] Duration longest() const noexcept { return longest_; }

private:
    static constexpr std::size_t subBucketCount = 32;
    static constexpr std::size_t rangeCount = 59;

    [[nodiscard]] static std::size_t bucketIndex(std::uint64_t value) noexcept;
    [[nodiscard]] static std::uint64_t upperBound(std::size_t bucket) noexcept;

    std::array<std::uint64_t, subBucketCount *(rangeCount + 1)> buckets_{};
    std::uint64_t count_ = 0;
    Duration longest_{0};
};

} // namespace hyssoprock::load
