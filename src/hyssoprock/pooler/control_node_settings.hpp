#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/limits/memory_budget.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Settings of the control role's internal side.

namespace hyssoprock {

/// @brief Settings of the control role's internal side.
struct ControlNodeSettings
{
    std::string name;     ///< IP address of this host, its name in the control group.
    std::string hostName; ///< Host name for logs and status output.
    std::string dataCentre;
    SocketAddress internal;              ///< Listening address; the port is the same on every host.
    std::vector<std::string> seeds;      ///< IP addresses of control hosts; may be outdated.
    bool bootstrap = false;              ///< Set for the first start of the deployment.
    std::uint32_t failuresTolerated = 1; ///< Number of voters that may fail simultaneously.
    std::uint32_t teamLimitTolerance = 0; ///< See AllowanceOwner.
    std::string dataFolder;               ///< Directory of the durable state.
    /// Bounds on the incomplete frames that clients have sent. The default suits 256 MB of memory.
    MemoryBounds memory{std::size_t{64} * 1024 * 1024, 0, std::size_t{64} * 1024 * 1024};
    std::size_t connectionsMax = 1024; ///< Connections to the internal port.
    RaftSettings raft;                 ///< Timeouts and batch sizes of the control group.
};

} // namespace hyssoprock
