#include <hyssoprock/pooling/connection_use.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// Time constant of the exponential decay of the acquisition count.
constexpr Duration rateWindow = std::chrono::seconds{4};
constexpr int averageDivisor = 8;

/// Approximates exp(-x) for x >= 0 to 8 digits. Only basic operations are used, whose results are
/// the same on every processor; std::exp() may differ in the last bit.
double decay(double x) noexcept
{
    constexpr double negligible = 40.0; // exp(-40) is below 1e-17.
    constexpr int halvings = 10;
    if (x > negligible) {
        return 0.0;
    }
    const auto part = x / (1 << halvings);
    auto result = 1.0 - part * (1.0 - part / 2.0 * (1.0 - part / 3.0 * (1.0 - part / 4.0)));
    for (int i = 0; i < halvings; ++i) {
        result *= result;
    }
    return result;
}

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
    if (share <= 0.0) {
        return Duration::zero();
    }
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
           * decay(static_cast<double>(age.count()) / static_cast<double>(rateWindow.count()));
}

} // namespace hyssoprock
