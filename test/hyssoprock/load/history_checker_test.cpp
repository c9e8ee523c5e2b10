#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/load/failover_gap.hpp>
#include <hyssoprock/load/history_checker.hpp>
#include <hyssoprock/load/latency_histogram.hpp>

using namespace hyssoprock;
using namespace hyssoprock::load;

namespace {

Instant at(int milliseconds)
{
    return Instant{std::chrono::milliseconds{milliseconds}};
}

StoredRow row(const std::string &id, const std::string &writer)
{
    return {id, writer, id, 1, rowBody(id)};
}

RequestRecord write(const std::string &session, const std::string &id, int sentMs, int respondedMs,
                    Outcome outcome = Outcome::Done)
{
    return {"g",         session, RequestKind::Write, at(sentMs), at(respondedMs), outcome,
            Duration{0}, "",      {row(id, session)}};
}

RequestRecord read(const std::string &session, const std::string &targetWriter, int sentMs,
                   std::vector<StoredRow> rows, int maxAgeMs = 0)
{
    return {"g",
            session,
            RequestKind::Read,
            at(sentMs),
            at(sentMs + 1),
            Outcome::Done,
            std::chrono::milliseconds{maxAgeMs},
            targetWriter,
            std::move(rows)};
}

/// Names of the violated guarantees, without duplicates.
std::vector<std::string> findViolations(std::vector<RequestRecord> history,
                                        std::vector<StoredRow> finalRows)
{
    HistoryChecker checker;
    for (auto &record : history) {
        checker.add(std::move(record));
    }
    std::vector<std::string> names;
    for (const auto &violation : checker.checkAll({{"g", std::move(finalRows)}})) {
        if (std::find(names.begin(), names.end(), violation.guarantee) == names.end()) {
            names.push_back(violation.guarantee);
        }
    }
    return names;
}

using GuaranteeNames = std::vector<std::string>;

} // namespace

// Guards against false positives: a write with an unknown outcome may or may not be visible, and a
// read may be as old as the caller allowed.
Test(historyChecker, acceptsAllowedHistory)
{
    const auto present = write("a", "1", 0, 5, Outcome::Unknown);
    const auto absent = write("a", "2", 10, 15, Outcome::Unknown);
    const auto refused = write("a", "3", 20, 25, Outcome::NotRun);
    const auto recent = write("b", "4", 90, 95);
    const GuaranteeNames none;
    cr_assert(findViolations({present, absent, refused, recent, read("a", "a", 30, {row("1", "a")}),
                              read("a", "b", 100, {}, 50)},
                             {row("1", "a"), row("4", "b")})
              == none);
}

// Guards against a checker that overlooks a read without the session's own acknowledged write.
Test(historyChecker, findsMissingOwnWrite)
{
    const GuaranteeNames expected{"read-your-writes"};
    cr_assert(findViolations({write("a", "1", 0, 5), read("a", "a", 6, {}, 1000)}, {row("1", "a")})
              == expected);
    // A write that is acknowledged after the read was sent need not be visible.
    cr_assert(findViolations({write("a", "1", 0, 7), read("a", "a", 6, {}, 1000)}, {row("1", "a")})
                  .empty());
}

// Guards against a checker that overlooks non-monotonic reads of another session's rows.
Test(historyChecker, findsNonMonotonicRead)
{
    const GuaranteeNames expected{"monotonic reads"};
    const auto unknown = write("b", "1", 0, 50, Outcome::Unknown);
    cr_assert(
        findViolations({unknown, read("a", "b", 10, {row("1", "b")}), read("a", "b", 20, {})}, {})
        == expected);
    cr_assert(
        findViolations({unknown, read("a", "b", 10, {row("1", "b")}), read("c", "b", 20, {})}, {})
            .empty());
}

// Guards against a checker that overlooks data older than the caller allowed.
Test(historyChecker, findsReadExceedingMaxAge)
{
    const GuaranteeNames expected{"read age"};
    const auto old = write("b", "1", 0, 5);
    cr_assert(findViolations({old, read("a", "b", 100, {}, 50)}, {row("1", "b")}) == expected);
    cr_assert(findViolations({old, read("a", "b", 100, {}, 0)}, {row("1", "b")}) == expected);
    cr_assert(findViolations({old, read("a", "b", 100, {}, 96)}, {row("1", "b")}).empty());
}

// Guards against a checker that overlooks lost or duplicate final rows.
Test(historyChecker, findsLostAndDuplicateWrites)
{
    const GuaranteeNames lost{"lost write"};
    const GuaranteeNames duplicate{"doubled write"};
    cr_assert(findViolations({write("a", "1", 0, 5)}, {}) == lost);
    cr_assert(findViolations({write("a", "1", 0, 5)}, {row("1", "a"), row("1", "a")}) == duplicate);
    cr_assert(
        findViolations({write("a", "1", 0, 5, Outcome::Unknown)}, {row("1", "a"), row("1", "a")})
        == duplicate);
}

// Guards against a checker that accepts "not run" for a write whose row is stored or was read.
Test(historyChecker, findsFalseNotRun)
{
    const GuaranteeNames expected{"not run"};
    const auto refused = write("a", "1", 0, 5, Outcome::NotRun);
    cr_assert(findViolations({refused}, {row("1", "a")}) == expected);
    cr_assert(findViolations({refused, read("b", "a", 10, {row("1", "a")})}, {}) == expected);
}

// Guards against a checker that overlooks a partial transaction in a read or in the final rows.
Test(historyChecker, findsPartialTransaction)
{
    const StoredRow first{"1", "a", "t", 2, rowBody("1")};
    const StoredRow second{"2", "a", "t", 2, rowBody("2")};
    const RequestRecord transaction{"g",         "a",   RequestKind::Transaction,
                                    at(0),       at(5), Outcome::Unknown,
                                    Duration{0}, "",    {first, second}};
    const GuaranteeNames expected{"transactions"};
    cr_assert(findViolations({transaction}, {first}) == expected);
    cr_assert(findViolations({transaction, read("b", "a", 1, {second})}, {first, second})
              == expected);
    cr_assert(
        findViolations({transaction, read("b", "a", 1, {second, first})}, {first, second}).empty());
}

// Guards against a checker that overlooks rows of another request's result, rows that mix two
// others, and rows that were never written.
Test(historyChecker, findsForeignAndCorruptRows)
{
    const GuaranteeNames expected{"whole answers"};
    const auto first = write("a", "1", 0, 500);
    const auto second = write("b", "2", 0, 500);
    const std::vector<StoredRow> stored{row("1", "a"), row("2", "b")};
    auto corrupt = row("1", "a");
    corrupt.body = rowBody("2");
    cr_assert(findViolations({first, second, read("c", "a", 1, {row("2", "b")})}, stored)
              == expected);
    cr_assert(findViolations({first, second, read("c", "a", 1, {corrupt})}, stored) == expected);
    cr_assert(findViolations({first, second, read("c", "a", 1, {row("9", "a")})}, stored)
              == expected);
    cr_assert(findViolations({first, second}, {corrupt, row("2", "b")}) == expected);
}

// Guards against percentiles whose error exceeds the width of a bucket.
Test(latencyHistogram, percentilesAreWithinABucket)
{
    LatencyHistogram histogram;
    cr_assert_eq(histogram.percentile(500).count(), 0);
    for (int i = 1; i <= 10000; ++i) {
        histogram.add(Duration{i});
    }
    for (const std::uint32_t permille : {1U, 500U, 950U, 990U, 1000U}) {
        const auto exact = 10 * static_cast<std::int64_t>(permille);
        const auto found = histogram.percentile(permille).count();
        cr_assert(found >= exact && found <= exact + exact / 32 + 1);
    }
    histogram.add(Duration::max());
    cr_assert(histogram.longest() == Duration::max());
}

// Guards against overlooking a gap that is still open at the end, and against counting the time
// before the first acknowledgement once there is one.
Test(failoverGap, longestTimeBetweenAcknowledgements)
{
    FailoverGap gap{at(0)};
    cr_assert(gap.longest(at(70)) == std::chrono::milliseconds{70});
    gap.recordAcknowledgement(at(100));
    gap.recordAcknowledgement(at(150));
    gap.recordAcknowledgement(at(400));
    gap.recordAcknowledgement(at(410));
    cr_assert(gap.longest(at(420)) == std::chrono::milliseconds{250});
    cr_assert(gap.longest(at(1000)) == std::chrono::milliseconds{590});
}
