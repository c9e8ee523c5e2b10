#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Schedule of an entry host's reports to control hosts, and how control hosts merge them.

namespace hyssoprock {

/// @brief Limits the rate of reports. Performs no I/O; the time is passed as an argument.
///
/// A changed document version is reported after the interval that the control host requested.
/// Counts of sessions and connections change all the time, so they are reported only as often as
/// the byte rate for them allows. Reports stop some time after the last request, because they are
/// only needed while an operator looks at them.
class EntryReportSchedule
{
public:
    /// @brief Control host and the report to send to it.
    using AddressedReport = std::pair<std::string, EntryReport>;

    /// @brief How long reports are sent after a request.
    static constexpr Duration requestLifetime = std::chrono::seconds{60};

    /// @brief Handles a request for reports. The first report contains everything.
    /// @param controlHost Control host that requests reports.
    /// @param interval Minimum time between two reports to it.
    /// @param now Current time.
    void handleRequest(const std::string &controlHost, Duration interval, Instant now);

    /// @brief Handles the end of a connection. The control host must request reports again.
    /// @param controlHost Control host that was disconnected.
    void handleDisconnect(const std::string &controlHost);

    /// @brief Whether a report may be due. A cheap check before takeDueReports().
    /// @param now Current time.
    [[nodiscard]] bool isDue(Instant now) const;

    /// @brief Returns the reports to send now and marks them as sent.
    /// @param current Current state of this host, including counts.
    /// @param now Current time.
    /// @return At most one report for each control host.
    [[nodiscard]] std::vector<AddressedReport> takeDueReports(const EntryReport &current,
                                                              Instant now);

private:
    struct Receiver
    {
        Duration interval{};
        Instant activeUntil{};                   ///< No reports from this time on.
        std::optional<EntryReport> lastReport{}; ///< State that the control host has been sent.
        Instant nextReportAt{};                  ///< No report before this time.
        Instant nextCountsAt{};                  ///< No report with counts before this time.
    };

    std::map<std::string, Receiver> receivers_{};
};

/// @brief Merges a report into the known state of an entry host.
/// @param known State from earlier reports; empty if there was none.
/// @param report Newest report.
void mergeReport(std::optional<EntryReport> &known, EntryReport report);

} // namespace hyssoprock
