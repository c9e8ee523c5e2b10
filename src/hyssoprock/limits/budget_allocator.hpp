#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Leases each endpoint's connections to the entry hosts; runs on the control leader.

namespace hyssoprock {

/// @brief Total number of connections that an endpoint accepts.
struct EndpointLimit
{
    std::string endpoint;          ///< Name of the endpoint.
    std::uint32_t connections = 0; ///< Includes the reserved ones.

    [[nodiscard]] bool operator==(const EndpointLimit &) const = default;
};

/// @brief Divides each endpoint's connections among the entry hosts by max-min fairness.
///
/// A host may use every grant until it expires, because a later, smaller one may be lost. Each host
/// is therefore accounted for with the greatest of its unexpired grants, and connections that it
/// returns are available only after that grant has expired. The sum over all hosts never exceeds
/// the limit.
class BudgetAllocator
{
public:
    /// @param reservedConnections Number of connections of each endpoint that are reserved for
    /// observers and control hosts.
    explicit BudgetAllocator(std::uint64_t reservedConnections) noexcept
        : reservedConnections_{reservedConnections}
    {}

    /// @brief Discards all grants when this control host becomes the leader.
    ///
    /// The previous leader's grants are unknown. Until they have expired, a host is granted no more
    /// than it reports to hold.
    /// @param now Time of becoming the leader.
    /// @param previousGrantsLifetime Time after which all grants of the previous leader have
    /// expired.
    void reset(Instant now, Duration previousGrantsLifetime);

    /// @brief Grants budgets to one host.
    /// @param host Name of the host.
    /// @param demand Connections that the host holds and wants; none for an omitted endpoint.
    /// @param limits Limits of the endpoints; a demand for any other endpoint gets no grant.
    /// @param now Current time.
    /// @param grantLifetime Time until the grant has expired on the host's clock, including the
    /// bound of clock drift.
    /// @return One grant for each endpoint in the demand that has a limit.
    [[nodiscard]] std::vector<BudgetGrant> renew(const std::string &host,
                                                 const std::vector<BudgetDemand> &demand,
                                                 const std::vector<EndpointLimit> &limits,
                                                 Instant now, Duration grantLifetime);

    /// @brief Number of an endpoint's connections under unexpired grants.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    [[nodiscard]] std::uint32_t granted(const std::string &endpoint, Instant now) const;

private:
    struct Grant
    {
        std::uint32_t connections = 0;
        Instant expiry{};
    };

    struct HostShare
    {
        std::vector<Grant> grants; // Strictly decreasing connections; expired ones may remain.
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
    Instant previousGrantsUntil_{};
    std::map<std::string, Shares, std::less<>> endpoints_;
};

} // namespace hyssoprock
