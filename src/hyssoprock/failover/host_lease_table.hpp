#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/observers.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Leases of entry hosts, on the granting side.

namespace hyssoprock {

/// @brief Lease and reported state of an entry host.
struct HostLease
{
    HostLocation location;            ///< Host and data centre.
    std::uint64_t incarnation = 0;    ///< Incarnation of the host's process.
    std::uint64_t sequence = 0;       ///< Sequence number of the newest accepted request.
    Instant expiry{};                 ///< By this time the lease has ended at the host.
    std::uint64_t confirmedView = 0;  ///< View version that the host has applied.
    std::uint64_t configRevision = 0; ///< Configuration that the host has applied.
    std::set<std::string, std::less<>> quiesced; ///< Groups without work at their primary.
    std::set<std::string, std::less<>> drained;  ///< Draining endpoints without work of the host.
};

/// @brief Hosts with a valid lease, and their names as sent to entry hosts.
struct ValidHosts
{
    std::vector<HostLocation> locations; ///< Sorted by name.
    std::vector<std::string> names;      ///< In the form host@dataCentre, sorted.
    std::uint64_t digest = 0;            ///< Digest of the names.
};

/// @brief Leases granted by this leader, and the time until which leases of an earlier leader may
/// last.
///
/// The holder measures a lease from the sending of its request and shortens it by the drift bound.
/// The grantor measures it from its response and lengthens it by the bound. So a lease never ends
/// earlier at the grantor than at the holder.
class HostLeaseTable
{
public:
    /// @param lease Duration of a lease.
    /// @param driftPerMille Upper bound of clock drift, in thousandths.
    HostLeaseTable(Duration lease, std::uint64_t driftPerMille) noexcept;

    /// @brief Starts a leadership. Leases of earlier leaders may last for one more lease duration.
    /// @param now Current time.
    void reset(Instant now);

    /// @brief Whether a request is newer than the last accepted one of its host.
    [[nodiscard]] bool isNewer(const HostRenewRequest &request) const;

    /// @brief Stores the reports of a request and grants a lease, or ends it if the host is
    /// leaving.
    /// @param request Request for which isNewer() is true.
    /// @param now Time of the response.
    void renew(const HostRenewRequest &request, Instant now);

    /// @brief Time at which every lease of earlier leaders has ended.
    [[nodiscard]] Instant formerLeasesEndAt() const noexcept { return formerLeasesEndAt_; }

    /// @brief Time for which resources granted with a lease stay reserved: the lease duration
    /// lengthened by the drift bound.
    [[nodiscard]] Duration reservationDuration() const noexcept;

    /// @brief Duration of a lease as sent to its holder.
    [[nodiscard]] Duration leaseDuration() const noexcept { return leaseDuration_; }

    /// @brief Hosts that have renewed a lease with this leader, by name, until prune() removes
    /// them.
    [[nodiscard]] const std::map<std::string, HostLease, std::less<>> &all() const noexcept
    {
        return hosts_;
    }

    /// @brief Hosts whose lease may still be valid.
    /// @return The cached list, valid until the next non-const call.
    [[nodiscard]] const ValidHosts &validHosts(Instant now);

    /// @brief Whether a host's lease may still be valid.
    [[nodiscard]] bool isValid(std::string_view host, Instant now) const;

    /// @brief Whether every host with a lease has applied a view and reports a name in a list.
    /// @param list HostLease::quiesced or HostLease::drained.
    /// @param name Group or endpoint.
    /// @param version Minimum view version of the host when it reported.
    /// @param now Current time.
    /// @return False also while leases of an earlier leader may last.
    [[nodiscard]] bool allHostsReport(std::set<std::string, std::less<>> HostLease::*list,
                                      std::string_view name, std::uint64_t version,
                                      Instant now) const;

    /// @brief Removes hosts whose lease ended long ago.
    /// @param now Current time.
    void prune(Instant now);

private:
    [[nodiscard]] bool isValidHostsCurrent(Instant now);

    Duration leaseDuration_;
    std::uint64_t driftPerMille_;
    Instant formerLeasesEndAt_{};
    std::map<std::string, HostLease, std::less<>> hosts_;

    ValidHosts validHosts_;
    bool validHostsCurrent_ = false; // except for leases that have expired since
    Instant nextExpiry_{};           // lower bound of the expiry of the listed leases
};

/// @brief Tracks the hosts that may still act on a view older than a given version.
class ViewBarrier
{
public:
    /// @brief Records every valid lease that was granted under an older view.
    /// @param leases Leases at the commit of the view.
    /// @param version Version of the view.
    /// @param now Time of the commit.
    ViewBarrier(const HostLeaseTable &leases, std::uint64_t version, Instant now);

    /// @brief Removes the hosts that have confirmed the view or whose recorded lease has ended.
    /// @param leases Current leases.
    /// @param now Current time.
    /// @return Whether no host is left.
    bool done(const HostLeaseTable &leases, Instant now);

    /// @brief Names of the remaining hosts, and "former leases" while leases of an earlier leader
    /// may last.
    [[nodiscard]] std::vector<std::string> waitingFor() const;

private:
    std::uint64_t version_;
    Instant formerLeasesEndAt_;
    bool formerLeasesEnded_ = false;
    std::map<std::string, Instant> pending_;
};

} // namespace hyssoprock
