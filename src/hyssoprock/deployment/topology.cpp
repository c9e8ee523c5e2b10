#include <hyssoprock/deployment/topology.hpp>

#include <utility>

namespace hyssoprock {

Topology::Topology(std::string dataCentre, const std::vector<std::string> &entries)
    : dataCentre_{std::move(dataCentre)}
{
    for (const auto &entry : entries) {
        if (const auto separator = entry.find('='); separator != std::string::npos) {
            regions_.emplace(entry.substr(0, separator), entry.substr(separator + 1));
        }
    }
}

Proximity Topology::proximity(std::string_view dataCentre) const
{
    return proximity(dataCentre_, dataCentre);
}

Proximity Topology::proximity(std::string_view from, std::string_view to) const
{
    if (from == to) {
        return Proximity::SameDataCentre;
    }
    const auto first = regions_.find(from);
    const auto second = regions_.find(to);
    const auto sameRegion =
        first != regions_.end() && second != regions_.end() && first->second == second->second;
    return sameRegion ? Proximity::SameRegion : Proximity::Remote;
}

std::vector<std::string> Topology::dataCentres() const
{
    std::vector<std::string> result;
    for (const auto &[dataCentre, region] : regions_) {
        result.push_back(dataCentre);
    }
    return result.empty() ? std::vector{dataCentre_} : result;
}

} // namespace hyssoprock
