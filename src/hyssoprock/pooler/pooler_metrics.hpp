#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/pooler_counters.hpp>
#include <hyssoprock/pooling/pooler_use.hpp>
#include <hyssoprock/promotion/promotion_metrics.hpp>

/// @file
/// @brief Metrics of both roles of the pooled deployment; docs/operators/metrics.md lists them.

namespace hyssoprock {

/// @brief Metrics of an entry host.
/// @param counters Counters of its Pooler.
/// @param use Its sessions and connections.
/// @param documentVersion Version in force; 0 for none.
/// @return Prometheus text.
[[nodiscard]] std::string entryMetrics(const PoolerCounters &counters, const PoolerUsage &use,
                                       std::uint64_t documentVersion);

/// @brief What the metrics of a control host show besides its status.
struct ControlMetricsInput
{
    PooledStatusResponse status;           ///< Its status; endpoints without answers.
    bool leading = false;                  ///< It leads with a valid lease.
    std::uint64_t logBytes = 0;            ///< Size of the Raft log and snapshots on disk.
    std::uint32_t entryHosts = 0;          ///< Entry hosts that share the connections.
    std::uint64_t documentsStored = 0;     ///< Documents acknowledged to operators by this host.
    const PromotionCounters *promotions{}; ///< Not null.
};

/// @brief Metrics of a control host.
/// @param input What they show.
/// @return Prometheus text.
[[nodiscard]] std::string controlMetrics(const ControlMetricsInput &input);

} // namespace hyssoprock
