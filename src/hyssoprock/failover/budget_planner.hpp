#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief What the Coordinator needs of the connection budget allocator.

namespace hyssoprock {

/// @brief Connections that an endpoint accepts.
struct EndpointConnections
{
    std::string endpoint;          ///< Endpoint.
    std::uint32_t connections = 0; ///< Its limit.
};

/// @brief Leases connection budgets to entry hosts along with their host lease.
class BudgetPlanner
{
public:
    BudgetPlanner() = default;
    BudgetPlanner(const BudgetPlanner &) = delete;
    BudgetPlanner &operator=(const BudgetPlanner &) = delete;
    virtual ~BudgetPlanner() = default;

    /// @brief Forgets everything; budgets granted by others run out during the quiet period.
    /// @param now Present time.
    /// @param quietPeriod Time in which only budgets that hosts report as held are extended.
    virtual void reset(Instant now, Duration quietPeriod) = 0;

    /// @brief Renews the budgets of a host.
    /// @param host Entry host.
    /// @param demand What it holds and wants.
    /// @param limits Limits of the endpoints that it names.
    /// @param now Present time.
    /// @param hold Time for which the grantor keeps the budgets reserved.
    /// @return All budgets of the host.
    virtual std::vector<BudgetGrant> renew(const std::string &host,
                                           const std::vector<BudgetDemand> &demand,
                                           const std::vector<EndpointConnections> &limits,
                                           Instant now, Duration hold) = 0;
};

/// @brief Connects an allocator class to the interface.
/// @tparam Allocator Class with reset and renew, such as BudgetAllocator.
/// @tparam Limit Its type for the limit of an endpoint, such as EndpointLimit.
template <class Allocator, class Limit>
class BudgetPlannerOf final : public BudgetPlanner
{
public:
    /// @brief Takes the allocator.
    /// @param allocator Used only through this object.
    explicit BudgetPlannerOf(Allocator allocator)
        : allocator_{std::move(allocator)}
    {}

    void reset(Instant now, Duration quietPeriod) override { allocator_.reset(now, quietPeriod); }

    std::vector<BudgetGrant> renew(const std::string &host, const std::vector<BudgetDemand> &demand,
                                   const std::vector<EndpointConnections> &limits, Instant now,
                                   Duration hold) override
    {
        std::vector<Limit> converted;
        for (const auto &limit : limits) {
            converted.push_back(Limit{limit.endpoint, limit.connections});
        }
        return allocator_.renew(host, demand, converted, now, hold);
    }

private:
    Allocator allocator_;
};

} // namespace hyssoprock
