#pragma once

#include <set>
#include <string>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/failover/coordinator.hpp>
#include <hyssoprock/failover/endpoint_probe_table.hpp>
#include <hyssoprock/failover/evidence_table.hpp>
#include <hyssoprock/failover/host_lease_table.hpp>
#include <hyssoprock/failover/outbox.hpp>

/// @file
/// @brief State shared by the parts of the Coordinator, and helper functions for views.

namespace hyssoprock {

/// @brief References to the shared tables, which outlive the parts that use them.
struct FailoverContext
{
    const CoordinatorSettings &settings; ///< Settings.
    const Catalog &catalog;              ///< Replicated state.
    HostLeaseTable &leases;              ///< Host leases.
    EvidenceTable &evidence;             ///< Reports of probers.
    EndpointProbeTable &probes;          ///< The leader's own status calls.
    Outbox &outbox;                      ///< Actions.
    std::set<std::string> &urgentGroups; ///< Groups that are checked at the short tick interval.
};

/// @brief Finds a member of a view.
/// @param view View.
/// @param endpoint Name.
/// @return The member, or null.
[[nodiscard]] const Member *findMember(const GroupView &view, std::string_view endpoint) noexcept;

/// @brief Names and addresses of the voters of a view.
[[nodiscard]] std::vector<VoterAddress> voterAddresses(const GroupView &view);

[[nodiscard]] std::size_t voterCount(const GroupView &view) noexcept;

/// @brief Declared number of instances of a group; 0 if it is not declared.
[[nodiscard]] std::uint32_t declaredInstances(const Catalog &catalog, std::string_view group);

} // namespace hyssoprock
