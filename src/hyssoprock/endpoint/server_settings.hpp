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
    std::string name;                  ///< Unique name.
    std::string group;                 ///< Database group.
    std::string dataCentre;            ///< Data centre.
    std::string listen;                ///< IP:port; port 0 for any free one.
    std::vector<std::string> announce; ///< IP:port of entry hosts that get announcements.
    std::uint32_t connections = 35;    ///< Connection limit, the reserved ones included.
    std::uint32_t reserved = 6;        ///< Connections kept for observers and control hosts.
    std::uint32_t slots = 5;           ///< Statements that run at the same time.
    Duration connectDelay = std::chrono::milliseconds{10}; ///< Time that a new connection takes.
    Duration serviceTime = std::chrono::milliseconds{1};   ///< Time that a statement holds a slot.
    Duration lag{0};               ///< Replication lag: arrival to visibility.
    std::uint64_t incarnation = 1; ///< Rises with each restart.
    std::string dataFolder;        ///< Where the journal is kept; empty for none.
};

} // namespace hyssoprock::endpoint
