#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>
#include <hyssoprock/pooling/pooler_action.hpp>
#include <hyssoprock/pooling/pooler_counters.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/pooler_use.hpp>

/// @file
/// @brief State machine of an entry host that pools connections to endpoints.

namespace hyssoprock {

/// @brief Who an entry host is, and the bounds that it keeps.
struct PoolerSettings
{
    std::string host;             ///< Name of this host.
    Topology topology;            ///< Data centres; near endpoints are preferred.
    bool logDecisions = false;    ///< Whether each routing decision is logged.
    bool countersEnabled = false; ///< Whether counters() are kept.
};

/// @brief Sessions of callers over pooled connections to endpoints.
class Pooler
{
public:
    /// @brief Starts without a document: callers wait.
    /// @param settings Settings.
    /// @param seed Seed of jitter.
    /// @param now Present time.
    Pooler(PoolerSettings settings, std::uint64_t seed, Instant now);
    Pooler(const Pooler &) = delete;
    Pooler &operator=(const Pooler &) = delete;
    ~Pooler();

    /// @brief Reacts to an event.
    /// @param event The event.
    /// @param now Present time.
    /// @return What to do, in order.
    [[nodiscard]] PoolerActions handle(PoolerEvent event, Instant now);

    /// @brief When a Tick is due at the latest.
    /// @return Nothing if no deadline is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Whether a document is in force and the process is not being stopped.
    [[nodiscard]] bool ready() const noexcept;

    /// @brief Sessions and connections at present.
    /// @return Counts; takes time proportional to the number of connections.
    [[nodiscard]] PoolerUsage usage() const;

    /// @brief What was done since the start.
    /// @return Null unless the settings ask for it.
    [[nodiscard]] const PoolerCounters *counters() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
