#include <hyssoprock/failover/observers.hpp>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

/// FNV-1a with a finaliser. The names are short and trusted, and the value must be equal in every
/// process and build, which std::hash does not guarantee.
std::uint64_t rank(std::string_view host, std::string_view endpoint) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    const auto add = [&](std::string_view text) {
        for (const char c : text) {
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3ULL; // separator
    };
    add(host);
    add(endpoint);
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

/// Whether a host cannot be an observer: another host of its data centre ranks higher, and there
/// are enough data centres to take one observer from each. An entry host calls this for every
/// endpoint when the list of hosts changes; it usually returns after a few hosts.
bool cannotObserve(std::string_view host, std::string_view endpoint,
                   const std::vector<HostLocation> &hosts, std::size_t count)
{
    const auto self = std::find_if(hosts.begin(), hosts.end(), [&](const HostLocation &location) {
        return location.host == host;
    });
    if (self == hosts.end()) {
        return true;
    }
    const auto own = rank(host, endpoint);
    bool outranked = false;
    std::set<std::string_view> dataCentres;
    for (const auto &location : hosts) {
        if (dataCentres.size() < count) {
            dataCentres.insert(location.dataCentre);
        }
        outranked =
            outranked
            || (location.dataCentre == self->dataCentre && rank(location.host, endpoint) > own);
        if (outranked && dataCentres.size() >= count) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string toString(const HostLocation &location)
{
    return location.host + "@" + location.dataCentre;
}

HostLocation parseHostLocation(std::string_view text)
{
    const auto at = text.find('@');
    if (at == std::string_view::npos) {
        return {std::string{text}, {}};
    }
    return {std::string{text.substr(0, at)}, std::string{text.substr(at + 1)}};
}

std::vector<HostLocation> chooseObservers(std::string_view endpoint,
                                          const std::vector<HostLocation> &hosts, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, HostLocation>> ranked;
    ranked.reserve(hosts.size());
    for (const auto &location : hosts) {
        ranked.emplace_back(rank(location.host, endpoint), location);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second.host < right.second.host;
    });
    std::set<std::string_view> dataCentres;
    std::vector<HostLocation> first;
    std::vector<HostLocation> rest;
    for (const auto &[value, location] : ranked) {
        const bool newDataCentre = dataCentres.insert(location.dataCentre).second;
        (newDataCentre ? first : rest).push_back(location);
    }
    first.insert(first.end(), rest.begin(), rest.end());
    first.resize(std::min(first.size(), count));
    return first;
}

bool isObserver(std::string_view host, std::string_view endpoint,
                const std::vector<HostLocation> &hosts, std::size_t count)
{
    if (cannotObserve(host, endpoint, hosts, count)) {
        return false;
    }
    const auto chosen = chooseObservers(endpoint, hosts, count);
    return std::any_of(chosen.begin(), chosen.end(),
                       [&](const HostLocation &location) { return location.host == host; });
}

} // namespace hyssoprock
