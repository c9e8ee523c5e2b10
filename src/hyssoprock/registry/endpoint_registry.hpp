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
/// @brief Endpoints of a pooled deployment, as their heartbeats describe them.

namespace hyssoprock {

/// @brief An endpoint that has neither left nor been displaced.
struct KnownEndpoint
{
    EndpointRecord record;    ///< Newest handleHeartbeat.
    Instant firstHeartbeatAt; ///< When the first handleHeartbeat of this incarnation was heard.
    Instant lastHeartbeatAt;  ///< When the newest handleHeartbeat was heard.
    Instant roleSince;    ///< When the incarnation first stated its present role without a break.
    bool expired = false; ///< Taken for gone until its next handleHeartbeat.
};

/// @brief What an event has changed for entry hosts.
struct RegistryChanges
{
    bool newer = false;                  ///< The handleHeartbeat was newer than what was known.
    std::vector<EndpointRecord> changed; ///< New or changed endpoints.
    std::vector<EndpointGone> gone;      ///< Incarnations that are not to be used any more.

    /// @brief Whether entry hosts have nothing to learn.
    [[nodiscard]] bool empty() const noexcept { return changed.empty() && gone.empty(); }
};

/// @brief Merges heartbeats that were heard here or passed on by another control host.
///
/// Records of one identifier are ordered by start and sequence, and records at one address by
/// start, so control hosts that have heard the same messages in different orders agree.
class EndpointRegistry
{
public:
    /// @brief Starts empty.
    /// @param heartbeatInterval Interval at which endpoints send heartbeats.
    explicit EndpointRegistry(Duration heartbeatInterval) noexcept
        : heartbeatInterval_{heartbeatInterval}
    {}

    /// @brief Takes a handleHeartbeat; one that is old, repeated or of a dead incarnation does
    /// nothing.
    /// @param record The handleHeartbeat.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] RegistryChanges handleHeartbeat(const EndpointRecord &record, Instant now);
    /// @brief Ends the present incarnation of an endpoint, by its own wish.
    /// @param id Identifier.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] RegistryChanges handleLeave(std::string_view id, Instant now);
    /// @brief Takes a handleLeave that another control host has passed on.
    /// @param gone The incarnation; earlier ones end too.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] RegistryChanges handleLeave(const EndpointGone &gone, Instant now);
    /// @brief Takes endpoints for gone that have not been heard for too long.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] RegistryChanges expire(Instant now);
    /// @brief When expire() has something to do next.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /// @brief Looks an endpoint up.
    /// @param id Identifier.
    /// @return The endpoint, also an expired one, or null.
    [[nodiscard]] const KnownEndpoint *find(std::string_view id) const;
    /// @brief Endpoints of a service, also expired ones, sorted by identifier.
    [[nodiscard]] std::vector<const KnownEndpoint *> members(std::string_view service) const;
    /// @brief Services with at least one known endpoint, sorted.
    [[nodiscard]] std::vector<std::string> services() const;
    /// @brief Newest record of each endpoint that has not expired, sorted by identifier.
    [[nodiscard]] std::vector<EndpointRecord> snapshot() const;
    /// @brief Interval at which endpoints send heartbeats.
    [[nodiscard]] Duration heartbeatInterval() const noexcept { return heartbeatInterval_; }

private:
    /// Latest incarnation that has ended; it and all earlier ones are never taken again.
    struct Ended
    {
        std::uint64_t bornMs = 0;
        Instant endedAt;
    };

    /// Latest incarnation that has used an address. At equal starts the higher identifier holds it.
    struct Holder
    {
        std::uint64_t bornMs = 0;
        std::string id;

        // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        [[nodiscard]] auto operator<=>(const Holder &) const = default;
    };

    void end(const std::string &id, std::uint64_t bornMs, Instant now, RegistryChanges &changes);
    void limitMemory();

    Duration heartbeatInterval_;
    std::map<std::string, KnownEndpoint, std::less<>> known_;
    std::map<std::string, Ended, std::less<>> ended_;
    std::map<std::string, Holder, std::less<>> holders_;
};

} // namespace hyssoprock
