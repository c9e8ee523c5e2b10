#include <hyssoprock/pooling/pooled_endpoint.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

constexpr int averageDivisor = 8;
constexpr Duration latencyHalfLife = std::chrono::seconds{1};
constexpr int halvingsMax = 10;

} // namespace

void PooledEndpoint::recordLatency(Duration measured, Instant now)
{
    const auto expected = expectedLatency(now);
    latency =
        expected == Duration::zero() ? measured : expected + (measured - expected) / averageDivisor;
    latencyAt = now;
}

Duration PooledEndpoint::expectedLatency(Instant now) const
{
    const auto halvings = std::min<std::int64_t>((now - latencyAt) / latencyHalfLife, halvingsMax);
    return latency / (std::int64_t{1} << halvings);
}

} // namespace hyssoprock
