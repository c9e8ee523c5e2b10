#include <hyssoprock/balancing/endpoint_load.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// The values are the best of those compared in the model of docs/design/balancing.md. Ten answers
// in time restore a share; reads leave an endpoint at which about a quarter of the answers is late.
constexpr std::int64_t increase = EndpointLoad::wholeShare / 10;
constexpr std::int64_t latePercent = 70;
constexpr std::int64_t refusedPercent = 50;
constexpr std::int64_t wholePercent = 100;
// Keeps some reads at a congested endpoint, whose recovery would not be seen otherwise. Refusals
// may reduce the share further: while the other endpoints are slow, one that refuses all stays
// apart.
constexpr std::int64_t lateShareMin = EndpointLoad::wholeShare / 16;
constexpr std::int64_t refusedShareMin = EndpointLoad::wholeShare / 128;
// A share without new outcomes is restored within 10 s.
constexpr Duration restoreInterval = std::chrono::seconds{10};
// Reads take 12 to 19 ms; a queue of 6 statements at 4 slots adds about this much. 15 ms moves more
// reads without congestion, 30 ms lets queues fill up if the information is old.
constexpr Duration lateMargin = std::chrono::milliseconds{20};
// A decrease weighs four times as much as an increase, so that the low latency stays near the
// latency without congestion during a burst.
constexpr int lowerDivisor = 16;
constexpr int raiseDivisor = 64;

} // namespace

void EndpointLoad::recordAnswer(Duration latency, Duration expected, Instant now)
{
    if (!lowLatency_) {
        lowLatency_ = latency;
    } else {
        *lowLatency_ +=
            (latency - *lowLatency_) / (latency < *lowLatency_ ? lowerDivisor : raiseDivisor);
    }
    const auto before = share(now);
    if (isLate(latency, expected)) {
        setShare(std::max(before * latePercent / wholePercent, std::min(before, lateShareMin)),
                 now);
    } else {
        setShare(before + increase, now);
    }
}

void EndpointLoad::recordRefusal(Instant now)
{
    setShare(std::max(share(now) * refusedPercent / wholePercent, refusedShareMin), now);
}

std::int64_t EndpointLoad::share(Instant now) const
{
    const auto passed = std::clamp(now - changedAt_, Duration::zero(), restoreInterval);
    return std::min(share_ + wholeShare * passed.count() / restoreInterval.count(), wholeShare);
}

bool EndpointLoad::isLate(Duration latency, Duration expected) noexcept
{
    return latency > expected + lateMargin;
}

void EndpointLoad::setShare(std::int64_t share, Instant now)
{
    share_ = std::min(share, wholeShare);
    changedAt_ = now;
}

} // namespace hyssoprock
