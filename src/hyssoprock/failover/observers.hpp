#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Which entry hosts probe an endpoint.

namespace hyssoprock {

/// @brief An entry host and its data centre.
struct HostLocation
{
    std::string host;       ///< Entry host.
    std::string dataCentre; ///< Its data centre.

    [[nodiscard]] bool operator==(const HostLocation &) const = default;
};

/// @brief Text form as in HostRenewResponse::hosts.
/// @param place Any place.
/// @return "host@dataCentre".
[[nodiscard]] std::string toString(const HostLocation &place);

/// @brief Reads the text form.
/// @param text "host@dataCentre".
/// @return The place; the data centre is empty if there is no "@".
[[nodiscard]] HostLocation parseHostLocation(std::string_view text);

/// @brief Chooses the observers of an endpoint by rendezvous hashing.
///
/// Hosts rank by a hash of (host, endpoint). The best host of each data centre comes first, then
/// the others, so the observers spread over as many data centres as possible and one more or less
/// host moves only the endpoints that it observes. Every process computes the same choice.
/// @param endpoint Endpoint to be probed.
/// @param hosts Entry hosts with a valid lease, in any order.
/// @param count Number wanted, see LeaseSettings::observers.
/// @return At most that many hosts, best first.
[[nodiscard]] std::vector<HostLocation> chooseObservers(std::string_view endpoint,
                                                        const std::vector<HostLocation> &hosts,
                                                        std::size_t count);

/// @brief Whether a host is among the observers of an endpoint.
/// @param host Name of the entry host.
/// @param endpoint Endpoint.
/// @param hosts Entry hosts with a valid lease.
/// @param count Number of observers.
/// @return Whether it is to probe the endpoint.
[[nodiscard]] bool isObserver(std::string_view host, std::string_view endpoint,
                              const std::vector<HostLocation> &hosts, std::size_t count);

} // namespace hyssoprock
