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
/// @brief Probers' reports of endpoints, and the verdict on a silent one.

namespace hyssoprock {

/// @brief Verdict that an endpoint has failed.
struct FailureVerdict
{
    Instant lastAnswer{}; ///< Newest answer that any prober reported, on this clock.
    std::string reason;   ///< Who has reported it, for the log.

    [[nodiscard]] bool operator==(const FailureVerdict &) const = default;
};

/// @brief Newest report of each prober on each endpoint.
class EvidenceTable
{
public:
    /// @brief Starts empty.
    /// @param interval Silence that a report must cover, see LeaseSettings::evidence.
    explicit EvidenceTable(Duration interval) noexcept
        : interval_{interval}
    {}

    /// @brief Forgets everything.
    void clear() noexcept { reports_.clear(); }

    /// @brief Takes a report; it replaces the prober's report before.
    /// @param prober Who has probed.
    /// @param evidence What it has seen.
    /// @param receivedAt When the report arrived here.
    void add(const HostLocation &prober, const FailureEvidence &evidence, Instant receivedAt);

    /// @brief Whether enough reports speak against an endpoint to judge it.
    ///
    /// Cheap, and false for nearly every endpoint: judging goes through all hosts with a lease.
    /// @param endpoint Endpoint.
    /// @param now Present time.
    /// @return False only if judge() cannot return a verdict, whoever the probers are.
    [[nodiscard]] bool suspects(std::string_view endpoint, Instant now) const;

    /// @brief Judges an endpoint.
    ///
    /// Two probers in two data centres must report a silence over the whole interval, and no prober
    /// may have had an answer within it. One data centre is enough if all probers are in one, for
    /// example when the leases of the other one's hosts have ended.
    /// @param endpoint Endpoint.
    /// @param leases Reports count only from hosts with a valid lease.
    /// @param leader The leader itself, whose reports always count.
    /// @param now Present time.
    /// @return A verdict, or nothing while the endpoint counts as alive.
    [[nodiscard]] std::optional<FailureVerdict> judge(std::string_view endpoint,
                                                      HostLeaseTable &leases,
                                                      const HostLocation &leader,
                                                      Instant now) const;

    /// @brief Number of hosts with a valid lease that have recently reached an endpoint.
    /// @param endpoint Endpoint.
    /// @param leases Reports count only from hosts with a valid lease.
    /// @param now Present time.
    /// @return Hosts whose report is newer than the interval and states an answer.
    [[nodiscard]] std::size_t reachedBy(std::string_view endpoint, const HostLeaseTable &leases,
                                        Instant now) const;

    /// @brief Newest answer that any prober has reported.
    /// @param endpoint Endpoint.
    /// @return Time on this clock, or nothing if no prober ever had one.
    [[nodiscard]] std::optional<Instant> lastAnswer(std::string_view endpoint) const;

private:
    struct Report
    {
        std::string dataCentre;
        FailureEvidence evidence;
        Instant receivedAt{};

        /// Latest moment at which the answer can have come, because reports travel forward in time.
        [[nodiscard]] Instant answeredAt() const noexcept
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
