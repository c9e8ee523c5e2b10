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
/// @brief When an entry host reports its state to control hosts, and how control hosts merge it.

namespace hyssoprock {

/// @brief Limits the rate of reports. Time is an argument.
///
/// A changed document version is reported after the interval that the control host has asked for.
/// Counts of sessions and connections change all the time, so they are reported only as often as
/// the bytes that this host may spend on them allow. Reports end some time after the last request,
/// because nobody needs them while no operator looks.
class EntryReportSchedule
{
public:
    /// @brief A control host and the report to send to it.
    using AddressedReport = std::pair<std::string, EntryReport>;

    /// @brief Time after a request in which reports are sent.
    static constexpr Duration requestLifetime = std::chrono::seconds{60};

    /// @brief A control host asks for reports; the first one holds everything.
    /// @param controlHost Who asks.
    /// @param interval Least time between two reports to it.
    /// @param now Present time.
    void handleRequest(const std::string &controlHost, Duration interval, Instant now);

    /// @brief The connection to a control host has ended; it has to ask again.
    /// @param controlHost Whose.
    void handleDisconnect(const std::string &controlHost);

    /// @brief Whether a report may be sent now, so that takeDueReports() is worth its cost.
    /// @param now Present time.
    [[nodiscard]] bool isDue(Instant now) const;

    /// @brief Reports to send now.
    /// @param current State of this host, with its counts.
    /// @param now Present time.
    /// @return At most one report for each control host.
    [[nodiscard]] std::vector<AddressedReport> takeDueReports(const EntryReport &current,
                                                              Instant now);

private:
    struct Receiver
    {
        Duration interval{};
        Instant until{};                   ///< No report from then on.
        std::optional<EntryReport> sent{}; ///< What the control host knows.
        Instant nextAt{};                  ///< No report before.
        Instant countsAt{};                ///< No report with counts before.
    };

    std::map<std::string, Receiver> receivers_{};
};

/// @brief Merges a report into what is known of an entry host.
/// @param known Earlier reports; nothing if there was none.
/// @param report Newest report.
void mergeReport(std::optional<EntryReport> &known, EntryReport report);

} // namespace hyssoprock
