#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Lease of an entry host on the primaries, on the holder's side.

namespace hyssoprock {

/// @brief Lease request and its recipient.
struct AddressedLeaseRequest
{
    std::string controlHost;  ///< Recipient; empty for all control hosts.
    HostLeaseRequest request; ///< Message to send.

    [[nodiscard]] bool operator==(const AddressedLeaseRequest &) const = default;
};

/// @brief Requests and renews the lease of an entry host. Performs no I/O; the time is passed as an
/// argument.
///
/// The lease is measured from the sending of its request and shortened by the drift bound, so it
/// ends before the grantor's record of it. Requests go to the control host that granted the last
/// lease, and to all control hosts if that one does not answer.
class HostLeaseHolder
{
public:
    /// @param incarnation Number of this process; differs from those of the host's other processes.
    /// @param leaseDuration Expected duration of a lease; an eighth of it is the renewal interval.
    HostLeaseHolder(std::uint64_t incarnation, Duration leaseDuration);

    /// @brief Returns the request that is due.
    /// @param now Current time; the request must be sent at once.
    [[nodiscard]] std::optional<AddressedLeaseRequest> nextRequest(Instant now);

    /// @brief Handles a grant.
    /// @param controlHost Sender of the grant.
    /// @return New end of the lease; std::nullopt if the grant does not extend it.
    [[nodiscard]] std::optional<Instant> handleGrant(std::string_view controlHost,
                                                     const HostLeaseGrant &grant, Instant now);

    /// @brief Handles the end of the connection to a control host.
    void handleDisconnect(std::string_view controlHost);

    /// @brief Records that a withdrawn primary is no longer used. The next request is due at once.
    void release(const PrimaryRelease &release);

    /// @brief Ends the reports of a release after a later primary was announced.
    void endRelease(const std::string &service) { released_.erase(service); }

    /// @brief Requests no more leases; the next request tells the grantor that the lease has ended.
    void leave();

    /// @brief End of the lease; Instant{} before the first grant.
    [[nodiscard]] Instant validUntil() const noexcept { return validUntil_; }

private:
    [[nodiscard]] bool isDue(Instant now) const;

    std::uint64_t incarnation_;
    Duration renewalInterval_;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, Instant> sentAt_; ///< Unanswered requests by sequence number.
    std::string grantor_;                     ///< Control host that granted the last lease.
    std::optional<Instant> requestedAt_;
    std::optional<Instant> grantedAt_; ///< When the last grant arrived.
    bool urgent_ = false;              ///< A release has not been reported yet.
    bool leaving_ = false;
    bool left_ = false;
    std::map<std::string, std::uint64_t> released_; ///< Epochs of withdrawals by service.
    Instant validUntil_{};
};

} // namespace hyssoprock
