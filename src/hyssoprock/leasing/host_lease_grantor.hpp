#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Leases of entry hosts on the primaries, on the granting side.

namespace hyssoprock {

/// @brief Records the leases that a control leader grants, and which primaries their holders may
/// still use. Performs no I/O; the time is passed as an argument.
///
/// An entry host uses a primary only under a valid lease and only the one that was announced last.
/// A primary may therefore be replaced once every holder has released it, and at the latest when
/// the leases of the others have ended. Leases of earlier leaders may last for one lease duration
/// after the start of a leadership.
class HostLeaseGrantor
{
public:
    /// @brief Upper bound of clock drift, in thousandths.
    static constexpr std::uint64_t driftPerMille = 10;

    /// @param leaseDuration Duration of a lease, measured by its holder.
    explicit HostLeaseGrantor(Duration leaseDuration) noexcept;

    /// @brief Starts a leadership.
    void beginLeadership(Instant now);

    /// @brief Records a request and grants a lease.
    /// @param host Sender of the request. The first request of a new incarnation shows that the
    /// host's earlier processes have ended.
    /// @param now Time of the grant.
    /// @return Answer to send; std::nullopt if the host is leaving or the request is outdated.
    [[nodiscard]] std::optional<HostLeaseGrant> renew(std::string_view host,
                                                      const HostLeaseRequest &request, Instant now);

    /// @brief Until when a host may use a primary of a service.
    /// @param epoch Epoch of the withdrawal of the service's primary.
    /// @param now Current time.
    /// @param formerUse By when the use under leases of earlier leaders has ended, if that is
    /// before the end of these leases.
    /// @return std::nullopt if no host may use one now.
    [[nodiscard]] std::optional<Instant>
    usableUntil(const std::string &service, std::uint64_t epoch, Instant now,
                std::optional<Instant> formerUse = std::nullopt) const;

    /// @brief Time from a grant until its lease has ended at the holder.
    [[nodiscard]] Duration reservationDuration() const noexcept;

    /// @brief Number of hosts that have not released the primary of a service.
    [[nodiscard]] std::size_t holderCount(const std::string &service, std::uint64_t epoch,
                                          Instant now) const;

private:
    /// @brief Lease of one process of an entry host.
    struct Lease
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; ///< Newest request.
        Instant expiry{};           ///< By this time the lease has ended at the holder.
        std::map<std::string, std::uint64_t> released; ///< Epochs of withdrawals by service.
        std::set<std::uint64_t> ended;                 ///< Incarnations that have ended.
    };

    [[nodiscard]] static bool mayUse(const Lease &lease, const std::string &service,
                                     std::uint64_t epoch, Instant now);

    Duration leaseDuration_;
    Instant formerLeasesEndAt_{};
    std::map<std::string, Lease, std::less<>> leases_; ///< By host.
};

} // namespace hyssoprock
