#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Keeps an entry host's connections within the budgets that it was granted.

namespace hyssoprock {

/// @brief Counts the open connections to each endpoint against the granted budget.
///
/// A budget ends with the host lease that carried it. A local share does not: it belongs to this
/// host for good, so that a data centre that is cut off can go on reading from its own replicas.
/// Connections that are over the budget have to be closed by the owner of the pool; excess() says
/// how many.
class BudgetLedger
{
public:
    /// @brief Takes the grants of a lease answer; endpoints left out have no budget any more.
    /// @param grants All budgets of this host.
    /// @param expiry End of the lease on this host's clock.
    void apply(const std::vector<BudgetGrant> &grants, Instant expiry);

    /// @brief Sets the connections that this host may always use, lease or not. All hosts' local
    /// shares of an endpoint have to fit into the connections that the allocator keeps reserved.
    /// @param endpoint Name of the endpoint.
    /// @param connections Size of the share; 0 takes it back.
    void setLocalShare(const std::string &endpoint, std::uint32_t connections);

    /// @brief Counts a connection that is about to be opened, if the budget allows it.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return Whether the connection may be opened.
    [[nodiscard]] bool tryOpen(const std::string &endpoint, Instant now);

    /// @brief Counts a connection that was closed or could not be opened.
    /// @param endpoint Name of the endpoint.
    void recordClosed(const std::string &endpoint);

    /// @brief Connections that may be open.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return The local share, and with a valid lease the budget besides.
    [[nodiscard]] std::uint32_t limit(const std::string &endpoint, Instant now) const;

    /// @brief Connections that are open.
    /// @param endpoint Name of the endpoint.
    /// @return Their number.
    [[nodiscard]] std::uint32_t open(const std::string &endpoint) const;

    /// @brief Connections over the budget, to be closed at once.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return Their number.
    [[nodiscard]] std::uint32_t excess(const std::string &endpoint, Instant now) const;

    /// @brief Demand to report with the next lease renewal.
    /// @param endpoint Name of the endpoint.
    /// @param waiting Requests that wait for a connection to it.
    /// @param warm Idle connections to keep beyond the present use.
    /// @param now Present time.
    /// @return What is held and wanted.
    [[nodiscard]] BudgetDemand demand(const std::string &endpoint, std::uint32_t waiting,
                                      std::uint32_t warm, Instant now) const;

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
