#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/freshness/position_history.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief What an entry host knows of a service.

namespace hyssoprock {

struct PooledEndpoint;

/// @brief One service.
struct PooledService
{
    PositionHistory history;             ///< Positions of its primary.
    std::string primary;                 ///< As the control leader names it.
    std::uint64_t epoch = 0;             ///< Of that name.
    std::vector<CallerId> waiting;       ///< Sessions that wait for a connection, oldest first.
    std::optional<Instant> complainedAt; ///< When a refusal to lead was last reported.

    // Set by Pooler::Impl::groupEndpoints().
    std::vector<PooledEndpoint *> endpoints; ///< Its endpoints, sorted by identifier.
    PooledEndpoint *namedPrimary =
        nullptr; ///< Endpoint that `primary` names, if it is one of them.
};

} // namespace hyssoprock
