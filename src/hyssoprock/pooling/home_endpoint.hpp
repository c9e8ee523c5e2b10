#pragma once

#include <string>
#include <vector>

#include <hyssoprock/deployment/topology.hpp>

/// @file
/// @brief Assignment of entry hosts to endpoints that have fewer connections than there are hosts.

namespace hyssoprock {

/// @brief Endpoint that a host may choose as its home.
struct HomeCandidate
{
    std::string id;           ///< Identifier of the endpoint.
    std::string dataCentre;   ///< Its data centre.
    double connections = 0.0; ///< Connections that all hosts together may open to it.

    [[nodiscard]] bool operator==(const HomeCandidate &) const = default;
};

/// @brief Result of assignHome(), in the order of the candidates.
struct HomeAssignment
{
    std::string home;              ///< Home of this host; empty if it has none.
    std::vector<double> residents; ///< Expected number of hosts with this home.

    [[nodiscard]] bool operator==(const HomeAssignment &) const = default;
};

/// @brief Chooses the endpoint to which a host keeps a connection open.
///
/// Where hosts take turns, each statement of a host that uses an endpoint less often than its idle
/// timeout opens a connection, which occupies a slot of the endpoint. With a home, reads find an
/// open connection, and the other connections are left for statements that only the primary can
/// run. Each host decides alone: among the nearest candidates by rendezvous hashing, and with a
/// probability that keeps the expected number of residents within part of the connections.
/// @param host Name of this host.
/// @param topology Data centres, over which hosts are assumed to be evenly distributed.
/// @param hosts Number of entry hosts.
/// @param candidates Endpoints to choose from.
[[nodiscard]] HomeAssignment assignHome(const std::string &host, const Topology &topology,
                                        double hosts, const std::vector<HomeCandidate> &candidates);

} // namespace hyssoprock
