#include <hyssoprock/load/latency_histogram.hpp>

#include <algorithm>
#include <bit>

namespace hyssoprock::load {

namespace {

constexpr unsigned subBucketBits = 5;

} // namespace

std::size_t LatencyHistogram::bucketOf(std::uint64_t value) noexcept
{
    if (value < subBuckets) {
        return static_cast<std::size_t>(value);
    }
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - subBucketBits - 1;
    return (shift + 1) * subBuckets + static_cast<std::size_t>((value >> shift) - subBuckets);
}

std::uint64_t LatencyHistogram::upperBound(std::size_t bucket) noexcept
{
    if (bucket < subBuckets) {
        return bucket;
    }
    const auto shift = bucket / subBuckets - 1;
    const auto lower = static_cast<std::uint64_t>(bucket % subBuckets + subBuckets) << shift;
    return lower + (std::uint64_t{1} << shift) - 1;
}

void LatencyHistogram::add(Duration duration) noexcept
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0));
    ++buckets_[std::min(bucketOf(value), buckets_.size() - 1)];
    ++count_;
    longest_ = std::max(longest_, duration);
}

Duration LatencyHistogram::percentile(std::uint32_t permille) const noexcept
{
    const auto wanted = std::max<std::uint64_t>((count_ * permille + 999) / 1000, 1);
    std::uint64_t passed = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        passed += buckets_[bucket];
        if (passed >= wanted) {
            return std::min(Duration{static_cast<std::int64_t>(upperBound(bucket))}, longest_);
        }
    }
    return Duration{0};
}

} // namespace hyssoprock::load
