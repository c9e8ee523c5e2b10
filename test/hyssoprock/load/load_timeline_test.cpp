#include <criterion/criterion.h>

#include <hyssoprock/load/load_timeline.hpp>

using namespace hyssoprock;
using namespace hyssoprock::load;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

StepResult resultAt(Instant at, Outcome outcome, const std::string &servedBy = {})
{
    StepResult result;
    result.record.answeredAt = at;
    result.record.outcome = outcome;
    result.step.aged = !servedBy.empty();
    result.servedBy = servedBy;
    result.error = outcome == Outcome::Done ? "" : "57P03 x";
    return result;
}

} // namespace

// Guards against a request in the wrong interval, and against answers after the end that are lost
// or written behind the last interval.
Test(load_timeline, requestsCountWhereTheyWereAnswered)
{
    LoadTimeline timeline{start, 3s};
    cr_assert(timeline.interval() == 1s);
    cr_assert_eq(timeline.intervals().size(), 3U);
    timeline.add(resultAt(start, Outcome::Done, "replica"), 5ms);
    timeline.add(resultAt(start + 999ms, Outcome::Done, "primary"), 5ms);
    timeline.add(resultAt(start + 1s, Outcome::NotRun), 5ms);
    timeline.add(resultAt(start + 20s, Outcome::Unknown), 5ms);
    timeline.noteSessions(7, start + 1500ms);
    timeline.noteSessions(3, start + 1600ms);
    const auto &intervals = timeline.intervals();
    cr_assert_eq(intervals[0].latency.count(), 2U);
    cr_assert_eq(intervals[0].agedReads, 2U);
    cr_assert_eq(intervals[0].replicaReads, 1U);
    cr_assert_eq(intervals[1].outcomes.at(Outcome::NotRun), 1U);
    cr_assert_eq(intervals[1].errors.at("57P03 x"), 1U);
    cr_assert_eq(intervals[1].sessionsUsed, 7U);
    cr_assert_eq(intervals[2].outcomes.at(Outcome::Unknown), 1U);
}

// Guards against a long run whose figures take unbounded memory.
Test(load_timeline, aLongRunHasLongerIntervals)
{
    const LoadTimeline timeline{start, 1h};
    cr_assert(timeline.interval() == 12s);
    cr_assert_eq(timeline.intervals().size(), 300U);
    cr_assert_eq((LoadTimeline{start, 0s}).intervals().size(), 1U);
}

// Guards against gaps that are the interval of probe writes, and against lost ones.
Test(load_timeline, onlyLongGapsAreNoted)
{
    LoadTimeline timeline{start, 10s};
    timeline.noteGap("g", start, start + 199ms);
    timeline.noteGap("g", start + 1s, start + 1700ms);
    cr_assert_eq(timeline.gaps().size(), 1U);
    cr_assert(timeline.gaps()[0].at == 1s && timeline.gaps()[0].length == 700ms);
}
