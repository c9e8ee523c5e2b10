#include <criterion/criterion.h>

#include <hyssoprock/load/load_timeline.hpp>

using namespace hyssoprock;
using namespace hyssoprock::load;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

OperationResult resultAt(Instant at, Outcome outcome, const std::string &servedBy = {})
{
    OperationResult result;
    result.record.respondedAt = at;
    result.record.outcome = outcome;
    result.operation.allowStale = !servedBy.empty();
    result.servedBy = servedBy;
    result.error = outcome == Outcome::Done ? "" : "57P03 x";
    return result;
}

} // namespace

// Guards against counting a request in the wrong interval, and against losing responses that arrive
// after the end or counting them past the last interval.
Test(load_timeline, countsRequestsInTheIntervalOfTheirResponse)
{
    LoadTimeline timeline{start, 3s};
    cr_assert(timeline.interval() == 1s);
    cr_assert_eq(timeline.intervals().size(), 3U);
    timeline.add(resultAt(start, Outcome::Done, "replica"), 5ms);
    timeline.add(resultAt(start + 999ms, Outcome::Done, "primary"), 5ms);
    timeline.add(resultAt(start + 1s, Outcome::NotRun), 5ms);
    timeline.add(resultAt(start + 20s, Outcome::Unknown), 5ms);
    timeline.recordActiveSessions(7, start + 1500ms);
    timeline.recordActiveSessions(3, start + 1600ms);
    const auto &intervals = timeline.intervals();
    cr_assert_eq(intervals[0].latency.count(), 2U);
    cr_assert_eq(intervals[0].allowStaleReads, 2U);
    cr_assert_eq(intervals[0].replicaReads, 1U);
    cr_assert_eq(intervals[1].outcomes.at(Outcome::NotRun), 1U);
    cr_assert_eq(intervals[1].errors.at("57P03 x"), 1U);
    cr_assert_eq(intervals[1].activeSessionsMax, 7U);
    cr_assert_eq(intervals[2].outcomes.at(Outcome::Unknown), 1U);
}

// Guards against unbounded memory use of the statistics of a long run.
Test(load_timeline, longRunHasLongerIntervals)
{
    const LoadTimeline timeline{start, 1h};
    cr_assert(timeline.interval() == 12s);
    cr_assert_eq(timeline.intervals().size(), 300U);
    cr_assert_eq((LoadTimeline{start, 0s}).intervals().size(), 1U);
}

// Guards against recording the normal interval between probe writes as a gap, and against missing
// real gaps.
Test(load_timeline, recordsOnlyLongGaps)
{
    LoadTimeline timeline{start, 10s};
    timeline.recordGap("g", start, start + 199ms);
    timeline.recordGap("g", start + 1s, start + 1700ms);
    cr_assert_eq(timeline.gaps().size(), 1U);
    cr_assert(timeline.gaps()[0].startOffset == 1s && timeline.gaps()[0].length == 700ms);
}
