#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/pooler_counters.hpp>
#include <hyssoprock/pooling/pooler_use.hpp>
#include <hyssoprock/promotion/promotion_metrics.hpp>

/// @file
/// @brief Metrics of both roles of the pooled deployment; docs/operators/metrics.md lists them.

namespace hyssoprock {

/// @brief Returns the metrics of an entry host in the Prometheus text format.
/// @param use Sessions and connections.
/// @param documentVersion Active version; 0 for none.
[[nodiscard]] std::string entryMetrics(const PoolerCounters &counters, const PoolerUsage &use,
                                       std::uint64_t documentVersion);

/// @brief Counters of the limits on callers, since the start of the process.
struct CallerLimitCounters
{
    std::uint64_t refusedConnections = 0; ///< Connections beyond the number that is allowed.
    std::uint64_t refusedForMemory = 0;   ///< Connections while the memory budget was in use.
    std::uint64_t closedForMemory = 0;    ///< Callers closed to make room.
    std::uint64_t timedOut = 0;           ///< Callers closed because they were too slow.
    std::uint64_t stoppedReading = 0;     ///< Times that a caller was not read from for a while.
};

/// @brief Returns the metrics of the limits on callers in the Prometheus text format.
/// @param heldBytes Memory that connections hold.
[[nodiscard]] std::string callerLimitMetrics(const CallerLimitCounters &counters,
                                             std::size_t heldBytes);

/// @brief Input for the metrics of a control host.
struct ControlMetricsInput
{
    PooledStatusResponse status;  ///< Status; endpoints may lack answers.
    bool leading = false;         ///< Whether it leads with a valid lease.
    std::uint64_t logBytes = 0;   ///< Size of the Raft log and snapshots on disk.
    std::uint32_t entryHosts = 0; ///< Number of entry hosts that share the endpoint connections.
    std::uint64_t documentsStored =
        0; ///< Number of documents acknowledged to operators by this host.
    const PromotionCounters *promotions{}; ///< Not null.
};

/// @brief Returns the metrics of a control host in the Prometheus text format.
[[nodiscard]] std::string controlMetrics(const ControlMetricsInput &input);

} // namespace hyssoprock
