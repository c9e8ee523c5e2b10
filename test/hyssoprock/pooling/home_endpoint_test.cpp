#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

#include <hyssoprock/pooling/home_endpoint.hpp>

using namespace hyssoprock;

namespace {

/// Six data centres in three regions.
const std::vector<std::string> dataCentres{"a1=a", "a2=a", "b1=b", "b2=b", "c1=c", "c2=c"};

std::string nameOf(int host)
{
    return "host-" + std::to_string(host);
}

Topology topologyOf(int host)
{
    return Topology{dataCentres[static_cast<std::size_t>(host) % dataCentres.size()].substr(0, 2),
                    dataCentres};
}

/// Number of hosts with each home; "" counts those without one.
std::map<std::string, int> countHomes(int hosts, const std::vector<HomeCandidate> &candidates)
{
    std::map<std::string, int> result;
    for (int host = 0; host < hosts; ++host) {
        ++result[assignHome(nameOf(host), topologyOf(host), hosts, candidates).home];
    }
    return result;
}

} // namespace

// Load pattern: 84 hosts, 44 connections for each endpoint, each host reads from each service less
// than twice a second. Guards against residents that together exceed the connections of an
// endpoint, which then refuses connections, and against hosts without a home although there are
// connections left.
Test(homeEndpoint, residentsFitTheConnections)
{
    const std::vector<HomeCandidate> replicas{{"r1", "a1", 44}, {"r2", "b1", 44}};
    const auto homes = countHomes(84, replicas);
    cr_assert_leq(homes.at("r1"), 44);
    cr_assert_leq(homes.at("r2"), 44);
    cr_assert_geq(homes.at("r1") + homes.at("r2"), 60);
    const auto assigned = assignHome(nameOf(0), topologyOf(0), 84, replicas);
    cr_assert(assigned.residents[0] <= 0.8 * 44 + 1e-9 && assigned.residents[1] > 35.0);
}

// Load pattern: 194 hosts, 141 connections: enough for one of each host at one of two replicas.
Test(homeEndpoint, everyHostHasAHomeIfThereAreEnoughConnections)
{
    const auto homes = countHomes(194, {{"r1", "a1", 141}, {"r2", "b2", 141}});
    cr_assert_eq(homes.count(""), 0U);
    cr_assert(homes.at("r1") < 141 && homes.at("r2") < 141);
}

// Guards against homes in other regions, whose traffic is expensive.
Test(homeEndpoint, theHomeIsOneOfTheNearestEndpoints)
{
    const std::vector<HomeCandidate> replicas{{"r1", "a2", 100}, {"r2", "b1", 100}};
    for (int host = 0; host < 60; ++host) {
        const auto topology = topologyOf(host);
        const auto home = assignHome(nameOf(host), topology, 60, replicas).home;
        if (topology.dataCentre().starts_with("a")) {
            cr_assert_eq(home, "r1");
        } else if (topology.dataCentre().starts_with("b")) {
            cr_assert_eq(home, "r2");
        }
    }
}

// Guards against a change of all homes when one endpoint leaves: only its residents may move.
Test(homeEndpoint, otherHostsKeepTheirHome)
{
    const Topology topology{"a"};
    for (int host = 0; host < 100; ++host) {
        const auto before = assignHome(nameOf(host), topology, 10,
                                       {{"r1", "a", 100}, {"r2", "a", 100}, {"r3", "a", 100}});
        const auto after =
            assignHome(nameOf(host), topology, 10, {{"r1", "a", 100}, {"r3", "a", 100}});
        if (before.home != "r2") {
            cr_assert_eq(after.home, before.home);
        }
    }
}

// Guards against a failure where an endpoint accepts no connection or none is known.
Test(homeEndpoint, withoutConnectionsThereIsNoHome)
{
    cr_assert(assignHome("h", Topology{"a"}, 10, {}).home.empty());
    const auto assigned = assignHome("h", Topology{"a"}, 10, {{"r1", "a", 0}});
    cr_assert(assigned.home.empty() && assigned.residents[0] == 0.0);
}
