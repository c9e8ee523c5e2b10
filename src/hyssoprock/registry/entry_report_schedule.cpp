#include <hyssoprock/registry/entry_report_schedule.hpp>

#include <algorithm>
#include <cstdint>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Share of the 3 KB/s that a host may use for control traffic. KeepAlive messages and evidence need
// the rest.
constexpr std::int64_t countsBytesPerSecondMax = 1000;
// Frame header plus TCP and IP headers.
constexpr std::size_t overheadBytes = 16 + 52;
// Bounds of the interval, so that a control host cannot request too many reports or none at all.
constexpr Duration intervalMin = std::chrono::seconds{1};
constexpr Duration intervalMax = std::chrono::minutes{1};

} // namespace

void EntryReportSchedule::handleRequest(const std::string &controlHost, Duration interval,
                                        Instant now)
{
    auto &receiver = receivers_[controlHost];
    if (receiver.activeUntil <= now) {
        receiver = Receiver{};
    }
    receiver.interval = std::clamp(interval, intervalMin, intervalMax);
    receiver.activeUntil = now + requestLifetime;
}

void EntryReportSchedule::handleDisconnect(const std::string &controlHost)
{
    receivers_.erase(controlHost);
}

bool EntryReportSchedule::isDue(Instant now) const
{
    return std::any_of(receivers_.begin(), receivers_.end(), [now](const auto &item) {
        return item.second.nextReportAt <= now && now < item.second.activeUntil;
    });
}

std::vector<EntryReportSchedule::AddressedReport>
EntryReportSchedule::takeDueReports(const EntryReport &current, Instant now)
{
    std::vector<AddressedReport> result;
    std::erase_if(receivers_, [now](const auto &item) { return item.second.activeUntil <= now; });
    const auto receivers = static_cast<std::int64_t>(receivers_.size());
    for (auto &[host, receiver] : receivers_) {
        if (receiver.nextReportAt > now) {
            continue;
        }
        auto report = current;
        report.counted = true;
        const auto newVersion =
            !receiver.lastReport || receiver.lastReport->documentVersion != current.documentVersion;
        if (receiver.nextCountsAt > now) {
            report = EntryReport{current.documentVersion};
        }
        if (!newVersion && (!report.counted || report == *receiver.lastReport)) {
            continue;
        }
        if (report.counted) {
            const auto bytes =
                static_cast<std::int64_t>(encode(report).size() + overheadBytes) * receivers;
            receiver.nextCountsAt =
                now + Duration{std::chrono::seconds{1}} * bytes / countsBytesPerSecondMax;
        }
        receiver.nextReportAt = now + receiver.interval;
        mergeReport(receiver.lastReport, report);
        result.emplace_back(host, std::move(report));
    }
    return result;
}

void mergeReport(std::optional<EntryReport> &known, EntryReport report)
{
    if (!known || report.counted) {
        known = std::move(report);
    } else {
        known->documentVersion = report.documentVersion;
    }
}

} // namespace hyssoprock
