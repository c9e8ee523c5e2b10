#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/freshness/position_history.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief State of a service on an entry host.

namespace hyssoprock {

struct PooledEndpoint;

/// @brief Service with its primary, endpoints and waiting sessions.
struct PooledService
{
    PositionHistory history;       ///< Positions reported by its primary.
    std::string primary;           ///< As announced by the control leader.
    std::uint64_t epoch = 0;       ///< Epoch of that announcement.
    std::vector<CallerId> waiting; ///< Sessions that wait for a connection, oldest first.
    std::optional<Instant> notPrimaryReportedAt; ///< Last report of Reachability::NotPrimary.

    // Set by Pooler::Impl::groupEndpoints().
    std::vector<PooledEndpoint *> endpoints; ///< Its endpoints, sorted by identifier.
    PooledEndpoint *announcedPrimary =
        nullptr; ///< Endpoint named by `primary`; null if not listed.
};

} // namespace hyssoprock
