#include <hyssoprock/registry/entry_report_schedule.hpp>

#include <algorithm>
#include <cstdint>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Of the 3 KB/s that a host may spend on control traffic; KeepAlive messages and evidence need
// the rest.
constexpr std::int64_t countBytesPerSecond = 1000;
// Frame header, and headers of TCP and IP.
constexpr std::size_t overheadBytes = 16 + 52;
// A control host cannot ask for more than this, nor for reports that never come.
constexpr Duration intervalLeast = std::chrono::seconds{1};
constexpr Duration intervalMost = std::chrono::minutes{1};

} // namespace

void EntryReportSchedule::handleRequest(const std::string &controlHost, Duration interval,
                                        Instant now)
{
    auto &receiver = receivers_[controlHost];
    if (receiver.until <= now) {
        receiver = Receiver{};
    }
    receiver.interval = std::clamp(interval, intervalLeast, intervalMost);
    receiver.until = now + requestLifetime;
}

void EntryReportSchedule::handleDisconnect(const std::string &controlHost)
{
    receivers_.erase(controlHost);
}

bool EntryReportSchedule::isDue(Instant now) const
{
    return std::any_of(receivers_.begin(), receivers_.end(), [now](const auto &item) {
        return item.second.nextAt <= now && now < item.second.until;
    });
}

std::vector<EntryReportSchedule::AddressedReport>
EntryReportSchedule::takeDueReports(const EntryReport &current, Instant now)
{
    std::vector<AddressedReport> result;
    std::erase_if(receivers_, [now](const auto &item) { return item.second.until <= now; });
    const auto receivers = static_cast<std::int64_t>(receivers_.size());
    for (auto &[host, receiver] : receivers_) {
        if (receiver.nextAt > now) {
            continue;
        }
        auto report = current;
        report.counted = true;
        const auto newVersion =
            !receiver.sent || receiver.sent->documentVersion != current.documentVersion;
        if (receiver.countsAt > now) {
            report = EntryReport{current.documentVersion};
        }
        if (!newVersion && (!report.counted || report == *receiver.sent)) {
            continue;
        }
        if (report.counted) {
            const auto bytes =
                static_cast<std::int64_t>(encode(report).size() + overheadBytes) * receivers;
            receiver.countsAt =
                now + Duration{std::chrono::seconds{1}} * bytes / countBytesPerSecond;
        }
        receiver.nextAt = now + receiver.interval;
        mergeReport(receiver.sent, report);
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
