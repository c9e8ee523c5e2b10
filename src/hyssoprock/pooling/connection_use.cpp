#include <hyssoprock/pooling/connection_use.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoprock {

namespace {

// Uses within about this time make up the rate.
constexpr Duration rateWindow = std::chrono::seconds{4};
constexpr int averageWeight = 8;

} // namespace

void ConnectionUsage::recordAcquired(Instant now) noexcept
{
    count_ = decayedCount(now) + 1.0;
    countedAt_ = now;
}

void ConnectionUsage::recordReleased(Duration held) noexcept
{
    held_ = held_ ? *held_ + (held - *held_) / averageWeight : held;
}

Duration ConnectionUsage::idleLimit(double share, Instant now) const noexcept
{
    const auto count = decayedCount(now);
    const auto spare = share * static_cast<double>(rateWindow.count());
    const auto longest = static_cast<double>(idleMax.count());
    // share / rate, without dividing by a rate of almost zero.
    const auto period = count * longest < spare ? longest : spare / count;
    const auto idle = Duration{static_cast<Duration::rep>(period)} - held_.value_or(Duration{});
    return std::clamp(idle, Duration::zero(), idleMax);
}

double ConnectionUsage::decayedCount(Instant now) const noexcept
{
    const auto age = std::max(now - countedAt_, Duration::zero());
    return count_
           * std::exp(-static_cast<double>(age.count()) / static_cast<double>(rateWindow.count()));
}

} // namespace hyssoprock
