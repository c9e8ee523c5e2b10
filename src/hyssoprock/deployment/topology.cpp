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
    if (dataCentre == dataCentre_) {
        return Proximity::SameDataCentre;
    }
    const auto own = regions_.find(dataCentre_);
    const auto other = regions_.find(dataCentre);
    const auto sameRegion =
        own != regions_.end() && other != regions_.end() && own->second == other->second;
    return sameRegion ? Proximity::SameRegion : Proximity::Remote;
}

} // namespace hyssoprock
