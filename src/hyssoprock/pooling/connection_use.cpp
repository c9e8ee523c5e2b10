#include <hyssoprock/pooling/connection_use.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoprock {

namespace {

// Time constant of the exponential decay of the acquisition count.
constexpr Duration rateWindow = std::chrono::seconds{4};
constexpr int averageDivisor = 8;

} // namespace

void ConnectionUsage::recordAcquired(Instant now) noexcept
{
    count_ = decayedCount(now) + 1.0;
    countedAt_ = now;
}

void ConnectionUsage::recordReleased(Duration held) noexcept
{
    held_ = held_ ? *held_ + (held - *held_) / averageDivisor : held;
}

Duration ConnectionUsage::idleTimeout(double share, Instant now) const noexcept
{
    const auto count = decayedCount(now);
    const auto spare = share * static_cast<double>(rateWindow.count());
    const auto longest = static_cast<double>(idleTimeoutMax.count());
    // share / rate, with no division by a rate near zero.
    const auto period = count * longest < spare ? longest : spare / count;
    const auto idle = Duration{static_cast<Duration::rep>(period)} - held_.value_or(Duration{});
    return std::clamp(idle, Duration::zero(), idleTimeoutMax);
}

double ConnectionUsage::decayedCount(Instant now) const noexcept
{
    const auto age = std::max(now - countedAt_, Duration::zero());
    return count_
           * std::exp(-static_cast<double>(age.count()) / static_cast<double>(rateWindow.count()));
}

} // namespace hyssoprock
