#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/host_lease_table.hpp>
#include <hyssoprock/failover/observers.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Detects failed endpoints from the reports of several probers.

namespace hyssoprock {

/// @brief Result of a detected endpoint failure.
struct FailureDetection
{
    Instant lastResponseAt{}; ///< Newest response that any prober reported, on this clock.
    std::string reason;       ///< The reporting probers, for the log.

    [[nodiscard]] bool operator==(const FailureDetection &) const = default;
};

/// @brief Holds the newest report of each prober on each endpoint.
class EvidenceTable
{
public:
    /// @param interval Minimum time without a response, see LeaseSettings::evidence.
    explicit EvidenceTable(Duration interval) noexcept
        : interval_{interval}
    {}

    void clear() noexcept { reports_.clear(); }

    /// @brief Adds a report, which replaces the prober's previous one on the endpoint.
    /// @param prober Host that has probed.
    /// @param evidence Its report.
    /// @param receivedAt When the report arrived here.
    void add(const HostLocation &prober, const FailureEvidence &evidence, Instant receivedAt);

    /// @brief Whether there are enough reports of silence for detectFailure() to find a failure.
    ///
    /// A cheap check that is false for nearly every endpoint; detectFailure() looks at all hosts
    /// with a lease.
    /// @param endpoint Endpoint.
    /// @param now Current time.
    /// @return False only if detectFailure() would return nothing for any leases.
    [[nodiscard]] bool hasSilenceReports(std::string_view endpoint, Instant now) const;

    /// @brief Decides whether an endpoint has failed.
    ///
    /// Two probers in two data centres must report silence over the whole interval, and no prober
    /// may report a response within it. One data centre is enough if all probers are in the same
    /// one, for example after the leases of all hosts in the other data centres have ended.
    /// @param endpoint Endpoint.
    /// @param leases Reports count only from hosts with a valid lease.
    /// @param leader The leader itself, whose reports always count.
    /// @param now Current time.
    /// @return The failure, or nothing while the endpoint counts as alive.
    [[nodiscard]] std::optional<FailureDetection> detectFailure(std::string_view endpoint,
                                                                HostLeaseTable &leases,
                                                                const HostLocation &leader,
                                                                Instant now) const;

    /// @brief Number of hosts with a valid lease that have recently reached an endpoint.
    /// @param endpoint Endpoint.
    /// @param leases Reports count only from hosts with a valid lease.
    /// @param now Current time.
    /// @return Number of hosts whose report is newer than the interval and states a response.
    [[nodiscard]] std::size_t countReachingHosts(std::string_view endpoint,
                                                 const HostLeaseTable &leases, Instant now) const;

    /// @brief Time of the newest response that any prober has reported.
    /// @param endpoint Endpoint.
    /// @return Time on this clock, or nothing if no prober ever reported one.
    [[nodiscard]] std::optional<Instant> lastResponseAt(std::string_view endpoint) const;

private:
    struct Report
    {
        std::string dataCentre;
        FailureEvidence evidence;
        Instant receivedAt{};

        /// Latest time at which the response can have arrived. It is exact if the report had no
        /// delay.
        [[nodiscard]] Instant respondedAt() const noexcept
        {
            return receivedAt
                   - std::chrono::milliseconds{static_cast<std::int64_t>(evidence.silentForMs)};
        }
    };

    [[nodiscard]] bool isSilence(const Report &report, Instant now) const noexcept;

    Duration interval_;
    std::map<std::string, std::map<std::string, Report, std::less<>>, std::less<>> reports_;
};

} // namespace hyssoprock
