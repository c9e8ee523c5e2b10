#include <hyssoprock/pooling/home_endpoint.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

/// Part of an endpoint's connections that residents may hold. The rest is for other hosts and for
/// uneven numbers of residents.
constexpr double residentRatio = 0.8;

/// Indices of the candidates with the best proximity to a data centre.
std::vector<std::size_t> nearest(const Topology &topology, const std::string &dataCentre,
                                 const std::vector<HomeCandidate> &candidates)
{
    auto best = Proximity::Remote;
    for (const auto &candidate : candidates) {
        best = std::min(best, topology.proximity(dataCentre, candidate.dataCentre));
    }
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (topology.proximity(dataCentre, candidates[i].dataCentre) == best) {
            result.push_back(i);
        }
    }
    return result;
}

/// Number in [0, 1) that depends only on the names.
double uniformDigest(const std::vector<std::string> &names)
{
    return static_cast<double>(computeNameDigest(names))
           / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1.0);
}

} // namespace

HomeAssignment assignHome(const std::string &host, const Topology &topology, double hosts,
                          const std::vector<HomeCandidate> &candidates)
{
    HomeAssignment result;
    result.residents.assign(candidates.size(), 0.0);
    if (candidates.empty()) {
        return result;
    }
    const auto dataCentres = topology.dataCentres();
    const auto hostsEach = hosts / static_cast<double>(dataCentres.size());
    for (const auto &dataCentre : dataCentres) {
        const auto chosen = nearest(topology, dataCentre, candidates);
        for (const auto index : chosen) {
            result.residents[index] += hostsEach / static_cast<double>(chosen.size());
        }
    }
    const auto own = nearest(topology, topology.dataCentre(), candidates);
    const auto digest = [&](std::size_t index) {
        return computeNameDigest({host, candidates[index].id});
    };
    const auto index = *std::max_element(own.begin(), own.end(), [&](auto left, auto right) {
        return digest(left) < digest(right);
    });
    const auto probability = [&](std::size_t i) {
        const auto limit = candidates[i].connections * residentRatio;
        return result.residents[i] <= limit ? 1.0 : limit / result.residents[i];
    };
    if (uniformDigest({"resident", host, candidates[index].id}) < probability(index)) {
        result.home = candidates[index].id;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        result.residents[i] *= probability(i);
    }
    return result;
}

} // namespace hyssoprock
