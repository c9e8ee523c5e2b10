#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Selection of the entry hosts that probe an endpoint.

namespace hyssoprock {

/// @brief Name and data centre of an entry host.
struct HostLocation
{
    std::string host;       ///< Entry host.
    std::string dataCentre; ///< Its data centre.

    [[nodiscard]] bool operator==(const HostLocation &) const = default;
};

/// @brief Formats a location as in HostRenewResponse::hosts.
/// @param location The location.
/// @return "host@dataCentre".
[[nodiscard]] std::string toString(const HostLocation &location);

/// @brief Parses the format of toString().
/// @param text "host@dataCentre".
/// @return The location; the data centre is empty if there is no "@".
[[nodiscard]] HostLocation parseHostLocation(std::string_view text);

/// @brief Chooses the observers of an endpoint by rendezvous hashing.
///
/// Hosts are ranked by a hash of (host, endpoint). The highest-ranked host of each data centre
/// comes first, then the others. So observers cover as many data centres as possible, and adding or
/// removing a host reassigns only the endpoints that it observes. Every process computes the same
/// observers.
/// @param endpoint Endpoint to probe.
/// @param hosts Entry hosts with a valid lease, in any order.
/// @param count Number of observers, see LeaseSettings::observers.
/// @return At most that many hosts, highest-ranked first.
[[nodiscard]] std::vector<HostLocation> chooseObservers(std::string_view endpoint,
                                                        const std::vector<HostLocation> &hosts,
                                                        std::size_t count);

/// @brief Whether a host is among the observers of an endpoint.
/// @param host Name of the entry host.
/// @param endpoint Endpoint.
/// @param hosts Entry hosts with a valid lease.
/// @param count Number of observers.
/// @return Whether it has to probe the endpoint.
[[nodiscard]] bool isObserver(std::string_view host, std::string_view endpoint,
                              const std::vector<HostLocation> &hosts, std::size_t count);

} // namespace hyssoprock
