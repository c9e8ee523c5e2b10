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
/// @brief The leader-only, volatile part of the control group.

namespace hyssoprock {

/// @brief Settings of the Coordinator.
struct CoordinatorSettings
{
    std::string host;                      ///< This control host.
    std::string dataCentre;                ///< Its data centre.
    LeaseSettings lease;                   ///< Leases, detection and handover.
    std::uint64_t clockDriftPerMille = 10; ///< Bound of clock drift, in thousandths.
};

/// @brief Grants host leases, detects failed primaries and carries out every change of primary,
/// planned stop and repair.
///
/// The daemon owns the Catalog and the Coordinator on one strand. It applies each committed command
/// to the Catalog first and reports it with CommandCommitted at once afterwards. A host that is not
/// the leader delivers only requests, which are answered with NotLeader.
///
/// Entry hosts shorten the failover by two habits: a host renews at once after it has applied a
/// pushed view (which confirms it), and when a probed endpoint has been silent for evidence_ms.
class Coordinator
{
public:
    /// @brief Starts without leadership.
    /// @param settings Settings.
    /// @param catalog The replicated state, read only; must outlive this object.
    /// @param budgets Connection budgets, without grants.
    Coordinator(CoordinatorSettings settings, const Catalog &catalog, BudgetAllocator budgets);
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;
    ~Coordinator();

    /// @brief Handles one event.
    /// @param event What has happened.
    /// @param now Present time.
    /// @param leaderLeaseValid Whether consensus holds a valid leader lease at this moment. Without
    /// it nothing is granted and nothing new is started.
    /// @return What is to be done, in order.
    [[nodiscard]] CoordinatorActions handle(const CoordinatorEvent &event, Instant now,
                                            bool leaderLeaseValid);

    /// @brief When a CoordinatorTick is due at the latest.
    /// @return A time, or nothing while this host does not lead.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Whether this host leads.
    [[nodiscard]] bool leading() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
