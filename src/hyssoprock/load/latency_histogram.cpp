#include <hyssoprock/load/latency_histogram.hpp>

#include <algorithm>
#include <bit>

namespace hyssoprock::load {

namespace {

constexpr unsigned subBucketBits = 5;

} // namespace

std::size_t LatencyHistogram::bucketIndex(std::uint64_t value) noexcept
{
    if (value < subBucketCount) {
        return static_cast<std::size_t>(value);
    }
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - subBucketBits - 1;
    return (shift + 1) * subBucketCount
           + static_cast<std::size_t>((value >> shift) - subBucketCount);
}

std::uint64_t LatencyHistogram::upperBound(std::size_t bucket) noexcept
{
    if (bucket < subBucketCount) {
        return bucket;
    }
    const auto shift = bucket / subBucketCount - 1;
    const auto lower = static_cast<std::uint64_t>(bucket % subBucketCount + subBucketCount)
                       << shift;
    return lower + (std::uint64_t{1} << shift) - 1;
}

void LatencyHistogram::add(Duration duration) noexcept
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0));
    ++buckets_[std::min(bucketIndex(value), buckets_.size() - 1)];
    ++count_;
    longest_ = std::max(longest_, duration);
}

Duration LatencyHistogram::percentile(std::uint32_t permille) const noexcept
{
    const auto targetCount = std::max<std::uint64_t>((count_ * permille + 999) / 1000, 1);
    std::uint64_t cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        cumulativeCount += buckets_[bucket];
        if (cumulativeCount >= targetCount) {
            return std::min(Duration{static_cast<std::int64_t>(upperBound(bucket))}, longest_);
        }
    }
    return Duration{0};
}

} // namespace hyssoprock::load
