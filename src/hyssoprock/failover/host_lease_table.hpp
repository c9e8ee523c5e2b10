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
/// @brief Leases of entry hosts, as their grantor sees them.

namespace hyssoprock {

/// @brief What the leader knows of an entry host.
struct HostLease
{
    HostLocation place;                          ///< Host and data centre.
    std::uint64_t incarnation = 0;               ///< Of the host's process.
    std::uint64_t sequence = 0;                  ///< Newest request taken.
    Instant expiry{};                            ///< Not before this has the lease ended there.
    std::uint64_t confirmedView = 0;             ///< View in force there.
    std::uint64_t configRevision = 0;            ///< Configuration in force there.
    std::set<std::string, std::less<>> quiesced; ///< Groups without work at their primary.
    std::set<std::string, std::less<>> drained;  ///< Draining endpoints without its work.
};

/// @brief Hosts with a valid lease, and the list that they are told.
struct ValidHosts
{
    std::vector<HostLocation> places; ///< By name.
    std::vector<std::string> names;   ///< As host@dataCentre, sorted.
    std::uint64_t digest = 0;         ///< Of the names.
};

/// @brief Leases granted by this leader, and the time until which an earlier leader's may last.
///
/// The holder counts a lease from the sending of its request, shortened by the drift bound. This
/// side counts from the answer, lengthened by it, so it always sees the lease end later.
class HostLeaseTable
{
public:
    /// @brief Starts empty.
    /// @param lease Length of a lease.
    /// @param driftPerMille Bound of clock drift in thousandths.
    HostLeaseTable(Duration lease, std::uint64_t driftPerMille) noexcept;

    /// @brief Begins a leadership: leases of the leader before may last for one more length.
    /// @param now Present time.
    void reset(Instant now);

    /// @brief Whether a request is newer than the last one of its host.
    [[nodiscard]] bool accepts(const HostRenewRequest &request) const;

    /// @brief Notes a request's reports and grants a lease, or ends it for a host that leaves.
    /// @param request Request for which accepts holds.
    /// @param now Time of the answer.
    void renew(const HostRenewRequest &request, Instant now);

    /// @brief Time at which every lease of earlier leaders has ended.
    [[nodiscard]] Instant quietUntil() const noexcept { return quietUntil_; }

    /// @brief Time for which something granted along with a lease stays reserved.
    [[nodiscard]] Duration hold() const noexcept;

    /// @brief Length of a lease as told to its holder.
    [[nodiscard]] Duration length() const noexcept { return lease_; }

    /// @brief Every host that has ever renewed with this leader, by name.
    [[nodiscard]] const std::map<std::string, HostLease, std::less<>> &all() const noexcept
    {
        return hosts_;
    }

    /// @brief Hosts whose lease may still be valid.
    /// @return The list, which is built again only after it has changed. Invalid after the next
    /// call that is not const.
    [[nodiscard]] const ValidHosts &validHosts(Instant now);

    /// @brief Whether a host's lease may still be valid.
    [[nodiscard]] bool isValid(std::string_view host, Instant now) const;

    /// @brief Whether every host with a lease has a view version and reports a name in a list.
    /// @param list quiesced or drained.
    /// @param name Group or endpoint.
    /// @param version View version at least in force at the host when it reported.
    /// @param now Present time.
    /// @return Whether all report it; false while an earlier leader's leases may last.
    [[nodiscard]] bool allReport(std::set<std::string, std::less<>> HostLease::*list,
                                 std::string_view name, std::uint64_t version, Instant now) const;

    /// @brief Forgets hosts whose lease ended long ago.
    /// @param now Present time.
    void prune(Instant now);

private:
    [[nodiscard]] bool listIsCurrent(Instant now);

    Duration lease_;
    std::uint64_t driftPerMille_;
    Instant quietUntil_{};
    std::map<std::string, HostLease, std::less<>> hosts_;

    ValidHosts valid_;
    bool validIsCurrent_ = false; // Apart from leases that have ended by themselves.
    Instant nextExpiry_{};        // No lease of a listed host ends before.
};

/// @brief Waits until no host can act on a view older than a given version.
class ViewWait
{
public:
    /// @brief Notes every lease that was granted under an older view.
    /// @param leases Leases at the commit of the view.
    /// @param version Version of the view.
    /// @param now Time of the commit.
    ViewWait(const HostLeaseTable &leases, std::uint64_t version, Instant now);

    /// @brief Drops the hosts that have confirmed the view or whose lease from before has ended.
    /// @param leases Leases now.
    /// @param now Present time.
    /// @return Whether none is left.
    bool done(const HostLeaseTable &leases, Instant now);

    /// @brief Hosts that are still waited for, and "former leases" for an earlier leader's.
    [[nodiscard]] std::vector<std::string> waitingFor() const;

private:
    std::uint64_t version_;
    Instant quietUntil_;
    bool quiet_ = false;
    std::map<std::string, Instant> open_;
};

} // namespace hyssoprock
