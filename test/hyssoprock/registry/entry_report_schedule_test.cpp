#include <optional>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/registry/entry_report_schedule.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant start{seconds{100}};

/// Report of an entry host with 24 endpoints, all of them in use.
EntryReport busyHost(std::uint64_t version, std::uint32_t used)
{
    EntryReport report;
    report.documentVersion = version;
    report.sessions = 60;
    for (int i = 0; i < 8; ++i) {
        report.waiting.push_back({"service-" + std::to_string(i), used});
    }
    for (int i = 0; i < 24; ++i) {
        report.connections.push_back({"i-service-" + std::to_string(i), 4, used});
    }
    return report;
}

} // namespace

// Guards against exceeding the bound of 3 KB/s of control traffic while the counts change all the
// time and all six control hosts request reports.
Test(entryReportSchedule, reportsStayWithinTheControlTrafficLimit)
{
    EntryReportSchedule schedule;
    const auto request = [&](Instant now) {
        for (int i = 0; i < 6; ++i) {
            schedule.handleRequest("control-" + std::to_string(i), seconds{1}, now);
        }
    };
    constexpr int durationSeconds = 300;
    std::size_t bytes = 0;
    std::size_t messages = 0;
    std::uint32_t used = 0;
    for (auto now = start; now < start + seconds{durationSeconds}; now += milliseconds{100}) {
        if ((now - start) % seconds{5} == Duration::zero()) {
            request(now);
        }
        if (schedule.isDue(now)) {
            for (const auto &[host, report] :
                 schedule.takeDueReports(busyHost(1, ++used % 5), now)) {
                bytes += encode(report).size() + 16 + 52;
                ++messages;
            }
        }
    }
    // The first report to each of the six control hosts is exempt from the limit.
    cr_assert(bytes / durationSeconds < 1100, "%zu bytes per second", bytes / durationSeconds);
    cr_assert(messages >= 6 * durationSeconds / 10, "%zu messages", messages);
}

// Guards against reporting a new version only when the counts may be sent again.
Test(entryReportSchedule, aNewVersionIsReportedWithinTheInterval)
{
    EntryReportSchedule schedule;
    schedule.handleRequest("a", seconds{1}, start);
    schedule.handleRequest("b", seconds{1}, start);
    cr_assert(schedule.takeDueReports(busyHost(1, 1), start).size() == 2);
    cr_assert(!schedule.isDue(start + milliseconds{999}));
    const auto later = schedule.takeDueReports(busyHost(2, 2), start + seconds{1});
    cr_assert(later.size() == 2);
    cr_assert(later[0].second.documentVersion == 2);
    cr_assert(!later[0].second.counted && later[0].second.connections.empty());
}

// Guards against traffic while nothing has changed, and against an incomplete report to a control
// host that has reconnected.
Test(entryReportSchedule, onlyChangesAreReported)
{
    EntryReportSchedule schedule;
    schedule.handleRequest("a", seconds{1}, start);
    cr_assert(schedule.takeDueReports(busyHost(1, 1), start).size() == 1);
    for (int i = 1; i < 100; ++i) {
        schedule.handleRequest("a", seconds{1}, start + seconds{i});
        cr_assert(schedule.takeDueReports(busyHost(1, 1), start + seconds{i}).empty());
    }
    schedule.handleDisconnect("a");
    cr_assert(!schedule.isDue(start + seconds{200}));
    schedule.handleRequest("a", seconds{1}, start + seconds{200});
    const auto again = schedule.takeDueReports(busyHost(1, 1), start + seconds{200});
    cr_assert(again.size() == 1 && again[0].second.counted);
}

// Guards against reports that use bandwidth between regions while no operator looks at them.
Test(entryReportSchedule, reportsEndSomeTimeAfterTheLastRequest)
{
    EntryReportSchedule schedule;
    schedule.handleRequest("a", seconds{1}, start);
    cr_assert(schedule.takeDueReports(busyHost(1, 1), start).size() == 1);
    const auto end = start + EntryReportSchedule::requestLifetime;
    cr_assert(schedule.takeDueReports(busyHost(2, 1), end - milliseconds{1}).size() == 1);
    cr_assert(!schedule.isDue(end + seconds{1}));
    cr_assert(schedule.takeDueReports(busyHost(3, 1), end + seconds{1}).empty());
}

// Guards against a control host that requests a report every millisecond, or never.
Test(entryReportSchedule, theIntervalIsBounded)
{
    EntryReportSchedule schedule;
    schedule.handleRequest("a", milliseconds{0}, start);
    cr_assert(schedule.takeDueReports(busyHost(1, 1), start).size() == 1);
    cr_assert(schedule.takeDueReports(busyHost(2, 1), start + milliseconds{999}).empty());
    cr_assert(schedule.takeDueReports(busyHost(2, 1), start + seconds{1}).size() == 1);
}

// Guards against losing the counts when a report contains only a version.
Test(entryReportSchedule, aVersionKeepsTheCounts)
{
    std::optional<EntryReport> known;
    auto report = busyHost(1, 3);
    report.counted = true;
    mergeReport(known, report);
    mergeReport(known, EntryReport{2});
    cr_assert(known->documentVersion == 2);
    cr_assert(known->connections == report.connections && known->sessions == 60);
}
