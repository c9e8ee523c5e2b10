#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/coordinator_io.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Failover coordination on the control leader. Its state is volatile.

namespace hyssoprock {

/// @brief Settings of the Coordinator.
struct CoordinatorSettings
{
    std::string host;                      ///< This control host.
    std::string dataCentre;                ///< Its data centre.
    LeaseSettings lease;                   ///< Leases, detection and handover.
    std::uint64_t clockDriftPerMille = 10; ///< Upper bound of clock drift, in thousandths.
};

/// @brief Grants host leases, detects failed primaries, and carries out every change of primary,
/// every planned stop and every replacement of a voter.
///
/// The daemon runs the Catalog and the Coordinator on one strand. It applies each committed command
/// to the Catalog and delivers CommandCommitted immediately afterwards. A host that is not the
/// leader delivers only requests, which are answered with NotLeader.
///
/// To shorten a failover, an entry host renews its lease immediately, without waiting for the
/// renewal interval, after it has applied a pushed view (which confirms the view) and when an
/// endpoint that it probes has not responded for evidence_ms.
class Coordinator
{
public:
    /// @brief Constructs a coordinator that is not the leader.
    /// @param settings Settings.
    /// @param catalog The replicated state, which is only read; must outlive this object.
    /// @param budgets Connection budgets, without grants.
    Coordinator(CoordinatorSettings settings, const Catalog &catalog, BudgetAllocator budgets);
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;
    ~Coordinator();

    /// @brief Handles one event.
    /// @param event The event.
    /// @param now Current time.
    /// @param leaderLeaseValid Whether this host holds a valid Raft leader lease. Without it no
    /// host lease is granted and no change is started.
    /// @return Actions, to be carried out in order.
    [[nodiscard]] CoordinatorActions handle(const CoordinatorEvent &event, Instant now,
                                            bool leaderLeaseValid);

    /// @brief Latest time at which a CoordinatorTick is due.
    /// @return The time, or nothing while this host is not the leader.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    [[nodiscard]] bool leading() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
