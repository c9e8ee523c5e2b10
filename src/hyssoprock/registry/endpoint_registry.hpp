#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Registry of the endpoints of a pooled deployment, built from their heartbeats.

namespace hyssoprock {

/// @brief Endpoint that has neither left nor been replaced at its address.
struct KnownEndpoint
{
    EndpointRecord record;    ///< Newest heartbeat.
    Instant firstHeartbeatAt; ///< When the first heartbeat of this incarnation was received.
    Instant lastHeartbeatAt;  ///< When the newest heartbeat was received.
    Instant roleSince;        ///< Start of its current role, without interruption.
    bool expired = false;     ///< Considered gone until its next heartbeat.
};

/// @brief Changes to send to entry hosts.
struct RegistryChanges
{
    bool newer = false;                  ///< The heartbeat was newer than the known one.
    std::vector<EndpointRecord> changed; ///< New or changed endpoints.
    std::vector<EndpointGone> gone;      ///< Incarnations that must no longer be used.

    /// @brief Whether there is nothing to send to entry hosts.
    [[nodiscard]] bool empty() const noexcept { return changed.empty() && gone.empty(); }
};

/// @brief Merges heartbeats received by this host or forwarded by other control hosts.
///
/// Records of one identifier are ordered by start time and sequence, and records at one address by
/// start time, so control hosts that receive the same messages in different orders agree.
class EndpointRegistry
{
public:
    /// @brief Creates an empty registry.
    /// @param heartbeatInterval Interval at which endpoints send heartbeats.
    explicit EndpointRegistry(Duration heartbeatInterval) noexcept
        : heartbeatInterval_{heartbeatInterval}
    {}

    /// @brief Handles a heartbeat. Ignores it if it is old, repeated or of an ended incarnation.
    /// @param record Heartbeat.
    /// @param now Current time.
    [[nodiscard]] RegistryChanges handleHeartbeat(const EndpointRecord &record, Instant now);
    /// @brief Ends the current incarnation of an endpoint that is leaving. A leave does not name
    /// its incarnation, and one that was held up arrives when the next incarnation runs. An
    /// endpoint reports that it is draining before it leaves, so a leave is ignored if the newest
    /// heartbeat is recent and says otherwise.
    /// @param id Identifier of the endpoint.
    /// @param now Current time.
    [[nodiscard]] RegistryChanges handleLeave(std::string_view id, Instant now);
    /// @brief Handles a leave message forwarded by another control host.
    /// @param gone Incarnation that has left; earlier ones end as well.
    /// @param now Current time.
    [[nodiscard]] RegistryChanges handleLeave(const EndpointGone &gone, Instant now);
    /// @brief Marks endpoints as expired that have not sent a heartbeat for too long.
    /// @param now Current time.
    [[nodiscard]] RegistryChanges expire(Instant now);
    /// @brief When expire() is due.
    /// @return std::nullopt if no endpoint is pending expiry.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /// @brief Finds an endpoint, including expired ones.
    /// @param id Identifier of the endpoint.
    /// @return Null if the endpoint is unknown.
    [[nodiscard]] const KnownEndpoint *find(std::string_view id) const;
    /// @brief Endpoints of a service, including expired ones, sorted by identifier.
    [[nodiscard]] std::vector<const KnownEndpoint *> members(std::string_view service) const;
    /// @brief Services with at least one known endpoint, sorted by name.
    [[nodiscard]] std::vector<std::string> services() const;
    /// @brief Newest record of each endpoint that has not expired, sorted by identifier.
    [[nodiscard]] std::vector<EndpointRecord> snapshot() const;
    /// @brief Incarnations that have left or were replaced, sorted by identifier.
    /// @return At most as many as are remembered.
    [[nodiscard]] std::vector<EndpointGone> ended() const;
    [[nodiscard]] Duration heartbeatInterval() const noexcept { return heartbeatInterval_; }

private:
    /// Newest incarnation that has ended. Heartbeats of it and of earlier ones are ignored.
    struct Ended
    {
        std::uint64_t bornMs = 0;
        Instant endedAt;
    };

    /// Newest incarnation that has used an address. Of two with the same start time, the higher
    /// identifier holds the address.
    struct AddressHolder
    {
        std::uint64_t bornMs = 0;
        std::string id;

        // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        [[nodiscard]] auto operator<=>(const AddressHolder &) const = default;
    };

    [[nodiscard]] bool mayBeLeaving(const KnownEndpoint &endpoint, Instant now) const;
    void endIncarnation(const std::string &id, std::uint64_t bornMs, Instant now,
                        RegistryChanges &changes);
    void limitMemory();

    Duration heartbeatInterval_;
    std::map<std::string, KnownEndpoint, std::less<>> endpoints_;
    std::map<std::string, Ended, std::less<>> ended_;
    std::map<std::string, AddressHolder, std::less<>> addressHolders_;
};

} // namespace hyssoprock
