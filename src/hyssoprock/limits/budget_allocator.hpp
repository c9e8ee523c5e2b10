#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Leases the connections of each endpoint to the entry hosts (leader of the control group).

namespace hyssoprock {

/// @brief How many connections an endpoint accepts in all.
struct EndpointLimit
{
    std::string endpoint;          ///< Name of the endpoint.
    std::uint32_t connections = 0; ///< Connections, reserved ones included.

    [[nodiscard]] bool operator==(const EndpointLimit &) const = default;
};

/// @brief Divides each endpoint's connections among the entry hosts that want some.
///
/// A host may use any grant that it got until that grant expires, since a later, smaller one may be
/// lost on the way. So a host counts with the greatest of its unexpired grants, and what it gives
/// back is free only after expiry. The sum of what all hosts count with never exceeds the limit.
class BudgetAllocator
{
public:
    /// @brief Starts without any grant.
    /// @param reservedConnections Connections of each endpoint kept for observers and control
    /// hosts.
    explicit BudgetAllocator(std::uint64_t reservedConnections) noexcept
        : reservedConnections_{reservedConnections}
    {}

    /// @brief Forgets all grants when this control host becomes the leader.
    ///
    /// The previous leader's grants are not known here. Until they have expired, a host is only
    /// granted what it says it holds.
    /// @param now Time of becoming the leader.
    /// @param quietPeriod Longest time that a grant of the previous leader can still be valid.
    void reset(Instant now, Duration quietPeriod);

    /// @brief Grants budgets to one host.
    /// @param host Name of the host.
    /// @param demand What the host holds and wants; an endpoint left out counts as wanting none.
    /// @param limits Limits of the endpoints; a demand for any other endpoint gets no grant.
    /// @param now Time of the answer.
    /// @param hold Time until the grant has expired on the host's clock, drift bound included.
    /// @return One grant for each endpoint in the demand that has a limit.
    [[nodiscard]] std::vector<BudgetGrant> renew(const std::string &host,
                                                 const std::vector<BudgetDemand> &demand,
                                                 const std::vector<EndpointLimit> &limits,
                                                 Instant now, Duration hold);

    /// @brief Sum of what hosts may use of an endpoint.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return Connections under unexpired grants.
    [[nodiscard]] std::uint32_t granted(const std::string &endpoint, Instant now) const;

private:
    struct Grant
    {
        std::uint32_t connections = 0;
        Instant expiry{};
    };

    struct HostShare
    {
        std::vector<Grant> grants; // Unexpired ones; each is smaller than those before it.
        std::uint32_t wanted = 0;
    };

    using Shares = std::map<std::string, HostShare, std::less<>>;

    [[nodiscard]] static std::uint32_t outstanding(const HostShare &share, Instant now) noexcept;
    [[nodiscard]] static std::uint32_t outstandingOfOthers(const Shares &shares,
                                                           const std::string &host, Instant now);
    [[nodiscard]] static std::uint32_t fairShare(const Shares &shares, const std::string &host,
                                                 std::uint32_t capacity);
    static void record(HostShare &share, std::uint32_t connections, Instant now, Instant expiry);
    static void dropExpired(Shares &shares, Instant now);

    std::uint64_t reservedConnections_;
    Instant quietUntil_{};
    std::map<std::string, Shares, std::less<>> endpoints_;
};

} // namespace hyssoprock
