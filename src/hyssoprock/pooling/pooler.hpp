#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>
#include <hyssoprock/pooling/pooler_action.hpp>
#include <hyssoprock/pooling/pooler_counters.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/pooler_use.hpp>
#include <hyssoprock/pooling/session_limits.hpp>

/// @file
/// @brief State machine of an entry host that pools connections to endpoints.

namespace hyssoprock {

/// @brief How statements that wait for a connection are served, and connections are opened.
enum class Admission : std::uint8_t {
    Priority, ///< By priority and arrival, without a bound; openings back off after refusals.
    Fair,     ///< See StatementQueue and OpeningPacer.
};

/// @brief Settings of a Pooler.
struct PoolerSettings
{
    std::string host;                          ///< Name of this host.
    Topology topology;                         ///< Data centres; near endpoints are preferred.
    bool logDecisions = false;                 ///< Whether each routing decision is logged.
    bool countersEnabled = false;              ///< Whether counters() is maintained.
    bool leasedPrimaries = false;              ///< Primaries are used only under this host's lease.
    SessionLimits limits{};                    ///< Limits of each session.
    Admission admission = Admission::Priority; ///< Setting `deployment.admission`.
    bool evenBalancing = false; ///< Reads are spread by EndpointSelector, outliers avoided.
};

/// @brief Multiplexes the sessions of callers over pooled connections to endpoints.
class Pooler
{
public:
    /// @brief Starts without a document; callers wait until one is in force.
    /// @param seed Seed of the random source.
    /// @param now Current time.
    Pooler(PoolerSettings settings, std::uint64_t seed, Instant now);
    Pooler(const Pooler &) = delete;
    Pooler &operator=(const Pooler &) = delete;
    ~Pooler();

    /// @brief Processes an event.
    /// @param now Current time.
    /// @return Actions in the order in which they must be carried out.
    [[nodiscard]] PoolerActions handle(PoolerEvent event, Instant now);

    /// @brief Latest time of the next Tick.
    /// @return Empty if no deadline is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Whether a document is in force and no shutdown was started.
    [[nodiscard]] bool ready() const noexcept;

    /// @brief Services whose positions this host needs from a control host, because it has had no
    /// answer from their primary recently.
    /// @return At most 64 names, those used last first if there are more.
    [[nodiscard]] std::vector<std::string> servicesWithoutSample(Instant now) const;

    /// @brief Current numbers of sessions and connections, in time linear in the connections.
    [[nodiscard]] PoolerUsage usage() const;

    /// @brief Team of a caller's session.
    /// @return Empty for none, and before the startup.
    [[nodiscard]] const std::string &teamOf(CallerId caller) const;

    /// @brief Counters since the start.
    /// @return Null unless PoolerSettings::countersEnabled is set.
    [[nodiscard]] const PoolerCounters *counters() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
