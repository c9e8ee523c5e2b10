#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Command line settings of the stand-in.

namespace hyssoprock::endpoint {

/// @brief Settings of one endpoint process.
struct ServerSettings
{
    std::string name;  ///< Unique name of the endpoint.
    std::string group; ///< Database group.
    std::string dataCentre;
    std::string listen; ///< IP:port; port 0 for any free one.
    std::vector<std::string>
        announceTargets;                   ///< IP:port of entry hosts that receive announcements.
    std::uint32_t connectionCountMax = 35; ///< Connection limit, including reserved ones.
    std::uint32_t reservedConnectionCount = 6; ///< Reserved for observers and control hosts.
    std::uint32_t slotCount = 5;               ///< Maximum number of concurrent statements.
    Duration connectDelay = std::chrono::milliseconds{10}; ///< Time to set up a connection.
    Duration serviceTime = std::chrono::milliseconds{1}; ///< Time that a statement occupies a slot.
    Duration replicationLag{0};                          ///< Delay from arrival to visibility.
    std::uint64_t incarnation = 1;                       ///< Increases with each restart.
    std::string dataFolder; ///< Directory of the journal; empty for none.
};

} // namespace hyssoprock::endpoint
