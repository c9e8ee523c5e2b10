#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/balancing/outlier_detector.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/freshness/position_history.hpp>
#include <hyssoprock/limits/statement_queue.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief State of a service on an entry host.

namespace hyssoprock {

struct PooledEndpoint;

/// @brief Withdrawn primary that still has writes or commits of this host in progress.
struct PrimaryWithdrawal
{
    std::string endpoint;    ///< Former primary.
    std::uint64_t epoch = 0; ///< Epoch of the withdrawal.
    Instant deadline;        ///< Its connections are closed then.
};

/// @brief What a host may do at a primary only under its lease.
enum class LeasedUse : std::uint8_t {
    None,
    Writes, ///< Writes and transactions that may write; the endpoint itself refuses outdated reads.
    All,    ///< Promotions do not depose the former primary.
};

/// @brief Service with its primary, endpoints and waiting sessions.
struct PooledService
{
    PositionHistory history; ///< Positions reported by its primary.
    std::string primary;     ///< As announced by the control leader; empty if withdrawn.
    std::uint64_t epoch = 0; ///< Epoch of that announcement.
    LeasedUse leasedUse = LeasedUse::None; ///< According to the document.
    Instant announcedAt;                   ///< When the primary was announced.
    Instant usedAt;                        ///< When a statement for it was last received.
    StatementQueue waiting;                ///< Sessions that wait for a connection, by CallerId.
    OutlierDetector outliers;              ///< Endpoints that reads avoid.
    std::optional<Instant> notPrimaryReportedAt; ///< Last report of Reachability::NotPrimary.

    // Set by Pooler::Impl::groupEndpoints().
    std::vector<PooledEndpoint *> endpoints; ///< Its endpoints, sorted by identifier.
    PooledEndpoint *announcedPrimary =
        nullptr; ///< Endpoint named by `primary`; null if not listed.
};

} // namespace hyssoprock
