#include <algorithm>
#include <set>

#include <criterion/criterion.h>

#include <hyssoprock/limits/opening_pacer.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};

} // namespace

// Guards against many openings at once to an endpoint of which nothing is known, and against
// delaying the first one.
Test(openingPacer, startsWithOneOpening)
{
    OpeningPacer pacer;
    RandomSource random{1};
    pacer.restart(start, random);
    cr_assert(pacer.mayOpen(0, start));
    cr_assert_not(pacer.mayOpen(1, start));
}

// Guards against a bound that does not follow the endpoint.
Test(openingPacer, growsByOneAndIsHalved)
{
    OpeningPacer pacer;
    RandomSource random{1};
    pacer.restart(start, random);
    const auto later = start + 1s;
    for (std::uint32_t i = 0; i < 40; ++i) {
        pacer.recordAccepted(later);
        cr_assert_eq(pacer.bound(), std::min(i + 2, OpeningPacer::boundMax));
    }
    pacer.recordRefused(later, random);
    cr_assert_eq(pacer.bound(), 8);
    cr_assert_not(pacer.mayOpen(0, later));
    cr_assert(pacer.mayOpen(7, later + 60ms));
    pacer.restart(later, random);
    cr_assert_eq(pacer.bound(), 1);
}

// Guards against hosts that ask a full endpoint too often, or all at the same moments, and against
// pauses that outlast the need.
Test(openingPacer, pausesGrowAndDiffer)
{
    std::set<Instant> ends;
    for (std::uint64_t host = 1; host <= 27; ++host) {
        OpeningPacer pacer;
        RandomSource random{host};
        auto now = start;
        for (auto i = 0; i < 10; ++i) {
            pacer.recordRefused(now, random);
            now = pacer.pausedUntil();
        }
        cr_assert_geq(now - start, 2s);
        pacer.recordRefused(now, random);
        cr_assert_leq(pacer.pausedUntil() - now, 960ms);
        ends.insert(pacer.pausedUntil());
        pacer.recordAccepted(now);
        cr_assert(pacer.mayOpen(0, now));
    }
    cr_assert_geq(ends.size(), 20U);
}

// Guards against hosts that begin to open several connections at the same moment.
Test(openingPacer, growthBeginsAtDifferentTimes)
{
    std::size_t growing = 0;
    for (std::uint64_t host = 1; host <= 27; ++host) {
        OpeningPacer pacer;
        RandomSource random{host};
        pacer.restart(start, random);
        pacer.recordAccepted(start + 100ms);
        growing += pacer.bound() > 1 ? 1 : 0;
        pacer.recordAccepted(start + 301ms);
        cr_assert_gt(pacer.bound(), 1U);
    }
    cr_assert(growing > 3 && growing < 18, "%zu hosts", growing);
}
