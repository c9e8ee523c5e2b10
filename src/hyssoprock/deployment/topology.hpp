#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Proximity of data centres to this host.

namespace hyssoprock {

/// @brief Proximity of two data centres, in order of preference.
enum class Proximity : std::uint8_t {
    SameDataCentre, ///< Same data centre.
    SameRegion,     ///< Another data centre of the same region.
    Remote,         ///< Another region, or an unknown one.
};

/// @brief Data centre of this host, and the regions of all known data centres.
class Topology
{
public:
    /// @brief Creates a topology without regions, in which every other data centre is remote.
    /// @param dataCentre Data centre of this host.
    explicit Topology(std::string dataCentre)
        : dataCentre_{std::move(dataCentre)}
    {}

    /// @brief Creates a topology from settings.
    /// @param dataCentre Data centre of this host.
    /// @param entries "DATA-CENTRE=REGION" for each data centre; entries without '=' are ignored.
    Topology(std::string dataCentre, const std::vector<std::string> &entries);

    /// @brief Proximity of a data centre to this host.
    /// @param dataCentre Data centre to compare with that of this host.
    /// @return Remote if the data centres differ and the region of either is unknown.
    [[nodiscard]] Proximity proximity(std::string_view dataCentre) const;

    /// @brief Proximity of two data centres.
    /// @return Remote if they differ and the region of either is unknown.
    [[nodiscard]] Proximity proximity(std::string_view from, std::string_view to) const;

    /// @brief All known data centres; only that of this host if no others are known.
    [[nodiscard]] std::vector<std::string> dataCentres() const;

    /// @brief Data centre of this host.
    [[nodiscard]] const std::string &dataCentre() const noexcept { return dataCentre_; }

private:
    std::string dataCentre_;
    std::map<std::string, std::string, std::less<>> regions_{};
};

} // namespace hyssoprock
