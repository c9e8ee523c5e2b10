#include <criterion/criterion.h>

#include <cmath>

#include <hyssoprock/pooling/connection_use.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

/// Uses at a steady rate for a while.
ConnectionUsage steadyUse(Duration interval, Duration held, Instant &now)
{
    ConnectionUsage use;
    for (const auto end = now + 30s; now < end; now += interval) {
        use.recordAcquired(now);
        use.recordReleased(held);
    }
    return use;
}

} // namespace

// Guards against hosts that together hold more connections than an endpoint has.
Test(connectionUse, heldConnectionsStayWithinTheShare)
{
    for (const auto interval : {Duration{100ms}, Duration{500ms}, Duration{1s}}) {
        Instant now{100s};
        const auto use = steadyUse(interval, 50ms, now);
        const auto idle = use.idleLimit(0.6, now);
        const auto rate = 1e6 / static_cast<double>(interval.count());
        const auto held = rate * static_cast<double>((idle + 50ms).count()) / 1e6;
        cr_assert_leq(held, 0.6 * 1.2, "interval %ld us: %f connections", interval.count(), held);
        cr_assert_geq(held, std::min(0.6, rate * 2.0) * 0.8, "interval %ld us: %f connections",
                      interval.count(), held);
    }
}

// Guards against connections that are kept although the statements alone take the whole share.
Test(connectionUse, nothingIsKeptIfTheUseTakesTheShare)
{
    Instant now{100s};
    const auto use = steadyUse(50ms, 100ms, now);
    cr_assert(use.idleLimit(0.6, now) == Duration::zero());
}

// Guards against a host that closes its one connection although it hardly uses the endpoint.
Test(connectionUse, rareUseKeepsTheConnectionForTheLongestTime)
{
    const ConnectionUsage unused;
    cr_assert(unused.idleLimit(0.6, Instant{100s}) == ConnectionUsage::idleMax);
    Instant now{100s};
    const auto use = steadyUse(50ms, 10ms, now);
    cr_assert(use.idleLimit(0.6, now) < 500ms);
    cr_assert(use.idleLimit(0.6, now + 60s) > 1900ms);
}
