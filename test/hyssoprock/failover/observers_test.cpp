#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/failover/observers.hpp>

using namespace hyssoprock;

namespace {

std::vector<HostLocation> nineHosts()
{
    std::vector<HostLocation> hosts;
    for (int i = 0; i < 9; ++i) {
        hosts.push_back({"entry-" + std::to_string(i), "dc-" + std::to_string(i % 3)});
    }
    return hosts;
}

} // namespace

// Guards against observers in a single data centre, whose partition would look like a failure.
Test(observers, areSpreadOverTheDataCentres)
{
    const auto hosts = nineHosts();
    for (int i = 0; i < 100; ++i) {
        const auto chosen = chooseObservers("endpoint-" + std::to_string(i), hosts, 3);
        std::set<std::string> dataCentres;
        for (const auto &place : chosen) {
            dataCentres.insert(place.dataCentre);
        }
        cr_assert_eq(chosen.size(), 3u);
        cr_assert_eq(dataCentres.size(), 3u);
    }
}

// Guards against observers that depend on the order of the hosts, and against a lost host that
// changes the observers of endpoints that it did not observe.
Test(observers, dependOnlyOnTheSetOfHosts)
{
    const auto hosts = nineHosts();
    const std::vector<HostLocation> reversed{hosts.rbegin(), hosts.rend()};
    std::vector<HostLocation> fewer = hosts;
    fewer.erase(fewer.begin() + 4);
    for (int i = 0; i < 100; ++i) {
        const auto endpoint = "endpoint-" + std::to_string(i);
        const auto chosen = chooseObservers(endpoint, hosts, 3);
        cr_assert(chosen == chooseObservers(endpoint, reversed, 3));
        if (!isObserver("entry-4", endpoint, hosts, 3)) {
            cr_assert(chosen == chooseObservers(endpoint, fewer, 3));
        }
    }
    cr_assert_eq(chooseObservers("endpoint", {hosts[0]}, 3).size(), 1u);
}

// Guards against an uneven distribution of endpoints over observers. With 600 endpoints each of the
// nine hosts should observe about 200.
Test(observers, areBalanced)
{
    const auto hosts = nineHosts();
    for (const auto &place : hosts) {
        int observed = 0;
        for (int i = 0; i < 600; ++i) {
            observed += isObserver(place.host, "endpoint-" + std::to_string(i), hosts, 3) ? 1 : 0;
        }
        cr_assert(observed > 140 && observed < 260, "%s observes %d", place.host.c_str(), observed);
    }
}

// Guards against misparsing a data centre that contains the separator, or a missing separator.
Test(observers, locationsSurviveFormattingAndParsing)
{
    const HostLocation place{"entry-1", "lulea-a"};
    cr_assert(parseHostLocation(toString(place)) == place);
    cr_assert(parseHostLocation("entry-1").dataCentre.empty());
}

// Guards against a difference between isObserver(), which often returns early, and
// chooseObservers().
Test(observers, isObserverAgreesWithChooseObservers)
{
    for (const std::size_t dataCentres : {1U, 2U, 3U, 6U}) {
        std::vector<HostLocation> hosts;
        for (std::size_t i = 0; i < 24; ++i) {
            hosts.push_back(
                {"entry-" + std::to_string(i), "dc-" + std::to_string(i % dataCentres)});
        }
        for (int i = 0; i < 50; ++i) {
            const auto endpoint = "endpoint-" + std::to_string(i);
            const auto chosen = chooseObservers(endpoint, hosts, 3);
            for (const auto &place : hosts) {
                const bool expected =
                    std::find(chosen.begin(), chosen.end(), place) != chosen.end();
                cr_assert_eq(isObserver(place.host, endpoint, hosts, 3), expected);
            }
            cr_assert_not(isObserver("stranger", endpoint, hosts, 3));
        }
    }
}
