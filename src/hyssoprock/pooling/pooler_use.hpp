#pragma once

#include <cstdint>
#include <vector>

#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief What a Pooler uses at a point in time.

namespace hyssoprock {

/// @brief Sessions and connections of an entry host.
struct PoolerUsage
{
    std::uint32_t sessions = 0;               ///< Sessions of callers.
    std::vector<WaitingSessions> waiting;     ///< Services for which sessions wait, sorted.
    std::vector<ConnectionCount> connections; ///< Endpoints with connections, sorted.

    [[nodiscard]] bool operator==(const PoolerUsage &) const = default;
};

} // namespace hyssoprock
