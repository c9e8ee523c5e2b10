#include <criterion/criterion.h>

#include <cmath>
#include <utility>
#include <vector>

#include <hyssoprock/pooling/connection_use.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

/// Usage at a constant rate for 30 s.
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
        const auto idle = use.idleTimeout(0.6, now);
        const auto rate = 1e6 / static_cast<double>(interval.count());
        const auto held = rate * static_cast<double>((idle + 50ms).count()) / 1e6;
        cr_assert_leq(held, 0.6 * 1.2, "interval %ld us: %f connections", interval.count(), held);
        cr_assert_geq(held, std::min(0.6, rate * 2.0) * 0.8, "interval %ld us: %f connections",
                      interval.count(), held);
    }
}

// Guards against keeping idle connections when those in use already exceed the share.
Test(connectionUse, nothingIsKeptIfTheUseTakesTheShare)
{
    Instant now{100s};
    const auto use = steadyUse(50ms, 100ms, now);
    cr_assert(use.idleTimeout(0.6, now) == Duration::zero());
}

// Guards against 0 / 0, whose conversion to an integer differs between processors, for a host whose
// use is long ago and that has no share.
Test(connectionUse, nothingIsKeptWithoutAShare)
{
    Instant now{100s};
    const auto use = steadyUse(50ms, 10ms, now);
    cr_assert(use.idleTimeout(0.0, now) == Duration::zero());
    cr_assert(use.idleTimeout(0.0, now + 2h) == Duration::zero());
}

// Guards against timeouts that depend on the processor, by fused operations or another exp().
Test(connectionUse, timeoutsAreTheSameOnEveryProcessor)
{
    Instant now{100s};
    const auto use = steadyUse(70ms, 10ms, now);
    const std::vector<std::pair<Duration, Duration>> expected{
        {0s, 32'392us},
        {1s, 44'433us},
        {5s, 137'965us},
        {8s, 303'243us},
    };
    for (const auto &[after, timeout] : expected) {
        cr_expect_eq(use.idleTimeout(0.6, now + after).count(), timeout.count());
    }
}

// Guards against an idle timeout that is too short for a host that rarely uses the endpoint.
Test(connectionUse, rareUseKeepsTheConnectionForTheLongestTime)
{
    const ConnectionUsage unused;
    cr_assert(unused.idleTimeout(0.6, Instant{100s}) == ConnectionUsage::idleTimeoutMax);
    Instant now{100s};
    const auto use = steadyUse(50ms, 10ms, now);
    cr_assert(use.idleTimeout(0.6, now) < 500ms);
    cr_assert(use.idleTimeout(0.6, now + 60s) > 1900ms);
}
