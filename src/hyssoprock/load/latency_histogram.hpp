#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Latency percentiles in constant memory.

namespace hyssoprock::load {

/// @brief Counts durations in buckets that are at most 1/32 wide relative to their value.
class LatencyHistogram
{
public:
    /// @brief Counts a duration; a negative one counts as 0.
    void add(Duration duration) noexcept;

    /// @brief Duration below or at which a share of all counted ones lie.
    /// @param permille Share in thousandths, 0 to 1000.
    /// @return Upper bound of the bucket; 0 if nothing was counted.
    [[nodiscard]] Duration percentile(std::uint32_t permille) const noexcept;

    /// @brief Number of counted durations.
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    /// @brief Longest counted duration, exactly.
    [[nodiscard]] Duration longest() const noexcept { return longest_; }

private:
    static constexpr std::size_t subBuckets = 32;
    static constexpr std::size_t ranges = 59;

    [[nodiscard]] static std::size_t bucketOf(std::uint64_t value) noexcept;
    [[nodiscard]] static std::uint64_t upperBound(std::size_t bucket) noexcept;

    std::array<std::uint64_t, subBuckets *(ranges + 1)> buckets_{};
    std::uint64_t count_ = 0;
    Duration longest_{0};
};

} // namespace hyssoprock::load
