#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Settings of the control role's internal side.

namespace hyssoprock {

/// @brief Settings of the control role's internal side.
struct ControlNodeSettings
{
    std::string name;                    ///< This host: its IP number.
    std::string hostName;                ///< Name for people.
    std::string dataCentre;              ///< Data centre.
    SocketAddress internal;              ///< Where to listen; the port is the same on every host.
    std::vector<std::string> seeds;      ///< IP numbers of control hosts; may be out of date.
    bool bootstrap = false;              ///< First start of the whole system.
    std::uint32_t failuresTolerated = 1; ///< Voters that may fail at the same time.
    std::string dataFolder;              ///< Folder of the durable state.
    RaftSettings raft;                   ///< Timing of the control group.
};

} // namespace hyssoprock
