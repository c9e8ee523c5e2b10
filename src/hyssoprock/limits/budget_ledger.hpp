#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Limits an entry host's connections to its granted budgets.

namespace hyssoprock {

/// @brief Counts the open connections to each endpoint against the granted budget.
///
/// A budget expires with the host lease that carried it. A local share does not expire, so that an
/// isolated data centre can still read from its own replicas. The owner of the pool must close the
/// connections over the budget, see excess().
class BudgetLedger
{
public:
    /// @brief Applies the grants of a lease; the budget of all other endpoints becomes 0.
    /// @param grants All budgets of this host.
    /// @param expiry End of the lease on this host's clock.
    void apply(const std::vector<BudgetGrant> &grants, Instant expiry);

    /// @brief Sets the number of connections that this host may use even without a lease. The sum
    /// of all hosts' local shares of an endpoint must not exceed the allocator's reserve.
    /// @param endpoint Name of the endpoint.
    /// @param connections Size of the share; 0 for none.
    void setLocalShare(const std::string &endpoint, std::uint32_t connections);

    /// @brief Reserves a connection if the budget allows it.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    /// @return Whether the connection may be opened.
    [[nodiscard]] bool tryOpen(const std::string &endpoint, Instant now);

    /// @brief Returns a connection that was closed or could not be opened.
    /// @param endpoint Name of the endpoint.
    void recordClosed(const std::string &endpoint);

    /// @brief Number of connections that may be open: the local share, plus the budget while the
    /// lease is valid.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    [[nodiscard]] std::uint32_t limit(const std::string &endpoint, Instant now) const;

    /// @brief Number of connections that are open or being opened.
    /// @param endpoint Name of the endpoint.
    [[nodiscard]] std::uint32_t open(const std::string &endpoint) const;

    /// @brief Number of connections over the limit, which must be closed immediately.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    [[nodiscard]] std::uint32_t excess(const std::string &endpoint, Instant now) const;

    /// @brief Demand to report with the next lease renewal.
    /// @param endpoint Name of the endpoint.
    /// @param waiting Number of requests that wait for a connection to it.
    /// @param idleReserve Number of idle connections to keep beyond those in use.
    /// @param now Current time.
    [[nodiscard]] BudgetDemand demand(const std::string &endpoint, std::uint32_t waiting,
                                      std::uint32_t idleReserve, Instant now) const;

private:
    struct Account
    {
        std::uint32_t budget = 0;
        std::uint32_t open = 0;
        std::uint32_t localShare = 0;
    };

    std::map<std::string, Account, std::less<>> accounts_;
    Instant expiry_{};
};

} // namespace hyssoprock
