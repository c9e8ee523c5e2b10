#include <criterion/criterion.h>

#include <hyssoprock/freshness/position_history.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

} // namespace

/// Guards against a read without a required position when no sample covers its staleness bound.
Test(position_history, knowsNoDemandWithoutARecentSample)
{
    PositionHistory history;
    cr_assert(!history.requiredPosition(start, 500ms).has_value());
    history.add(start, {1, 5});
    cr_assert(history.requiredPosition(start + 500ms, 500ms) == LogPosition(1, 5));
    cr_assert(!history.requiredPosition(start + 501ms, 500ms).has_value());
}

/// Guards against using a sample from before the staleness bound, which does not cover the commits
/// acknowledged in between.
Test(position_history, demandsTheOldestSampleWithinTheAllowance)
{
    PositionHistory history;
    history.add(start, {1, 5});
    history.add(start + 100ms, {1, 9});
    history.add(start + 200ms, {1, 12});
    cr_assert(history.requiredPosition(start + 300ms, 250ms) == LogPosition(1, 9));
    cr_assert(history.requiredPosition(start + 300ms, 200ms) == LogPosition(1, 9));
    cr_assert(history.requiredPosition(start + 300ms, 199ms) == LogPosition(1, 12));
}

/// Guards against a late answer that is recorded as the newest sample.
Test(position_history, ignoresSamplesOutOfOrder)
{
    PositionHistory history;
    history.add(start + 100ms, {1, 9});
    history.add(start + 50ms, {1, 7});
    cr_assert(history.requiredPosition(start + 100ms, 100ms) == LogPosition(1, 9));
    cr_assert(history.newestSampleAt() == start + 100ms);
}

/// Guards against required positions that no endpoint can reach after a promotion has rolled back
/// commits.
Test(position_history, aNewerTermReplacesSamplesAndFloors)
{
    PositionHistory history;
    history.add(start, {1, 50});
    history.add(start + 20ms, {2, 40});
    cr_assert(history.requiredPosition(start + 20ms, 1s) == LogPosition(2, 40));
    cr_assert(history.translateToNewestTerm({1, 50}) == LogPosition(2, 40));
    cr_assert(history.translateToNewestTerm({2, 60}) == LogPosition(2, 60));
    cr_assert(history.translateToNewestTerm({3, 1}) == LogPosition(3, 1));
    cr_assert_eq(history.term(), 2U);
}

/// Guards against an answer of a deposed primary that replaces samples of the new one.
Test(position_history, ignoresSamplesOfOlderTerms)
{
    PositionHistory history;
    history.add(start, {2, 40});
    history.add(start + 100ms, {1, 90});
    cr_assert(history.requiredPosition(start, 0ms) == LogPosition(2, 40));
    cr_assert(!history.requiredPosition(start + 100ms, 0ms).has_value());
}

/// Guards against memory that grows with the uptime of a host.
Test(position_history, forgetsOldSamples)
{
    PositionHistory history;
    history.add(start, {1, 1});
    history.add(start + 31s, {1, 2});
    cr_assert(history.requiredPosition(start + 31s, 31s) == LogPosition(1, 2));
}
