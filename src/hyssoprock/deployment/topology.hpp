#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief How far another data centre is from this host.

namespace hyssoprock {

/// @brief Distance of two data centres, in the order in which hosts prefer them.
enum class Proximity : std::uint8_t {
    SameDataCentre, ///< The same one.
    SameRegion,     ///< Another one of the same region.
    Remote,         ///< In another region, or of unknown region.
};

/// @brief Data centre of this host, and the regions of all that are known.
class Topology
{
public:
    /// @brief Knows no region: every other data centre is remote.
    /// @param dataCentre Data centre of this host.
    explicit Topology(std::string dataCentre)
        : dataCentre_{std::move(dataCentre)}
    {}

    /// @brief Takes regions from the settings.
    /// @param dataCentre Data centre of this host.
    /// @param entries "DATA-CENTRE=REGION" for each data centre; an entry without '=' is ignored.
    Topology(std::string dataCentre, const std::vector<std::string> &entries);

    /// @brief Distance from this host.
    /// @param dataCentre Another data centre.
    /// @return Remote if the region of either is unknown and they differ.
    [[nodiscard]] Proximity proximity(std::string_view dataCentre) const;

    /// @brief Data centre of this host.
    [[nodiscard]] const std::string &dataCentre() const noexcept { return dataCentre_; }

private:
    std::string dataCentre_;
    std::map<std::string, std::string, std::less<>> regions_{};
};

} // namespace hyssoprock
