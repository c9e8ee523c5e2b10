#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Current sessions and connections of a Pooler.

namespace hyssoprock {

/// @brief Numbers of sessions and connections of an entry host.
struct PoolerUsage
{
    std::uint32_t sessions = 0;               ///< Sessions, including those not accepted yet.
    std::vector<WaitingSessions> waiting;     ///< Services with waiting sessions, sorted by name.
    std::vector<ConnectionCount> connections; ///< Endpoints with connections, sorted by identifier.
    std::vector<std::string> avoided;         ///< Endpoints that reads avoid, by service.

    [[nodiscard]] bool operator==(const PoolerUsage &) const = default;
};

} // namespace hyssoprock
