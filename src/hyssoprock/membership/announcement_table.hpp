#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/membership.hpp>

/// @file
/// @brief Announced endpoints of a data centre.

namespace hyssoprock {

/// @brief Holds the newest announcement of each endpoint, with its age.
///
/// The age in a gossiped announcement does not include the delay of the message. To keep copies
/// from renewing each other indefinitely, a copy renews an announcement only if it is newer by a
/// quarter of the time to live.
class AnnouncementTable
{
public:
    /// @brief Constructs an empty table.
    /// @param timeToLive Time after which an endpoint expires.
    explicit AnnouncementTable(Duration timeToLive) noexcept;

    /// @brief Adds an announcement received from the endpoint itself.
    /// @return Whether the endpoint is new, was restarted or has changed.
    bool add(const Announcement &announcement, Instant now);
    /// @brief Adds an announcement gossiped by another host.
    /// @return Whether the endpoint is new, was restarted or has changed.
    bool merge(const SharedAnnouncement &shared, Instant now);
    /// @brief Removes endpoints whose newest announcement is older than the time to live.
    /// @return Their names.
    [[nodiscard]] std::vector<std::string> expire(Instant now);
    /// @brief Time at which the next endpoint expires.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;
    /// @brief All endpoints, sorted by name.
    [[nodiscard]] std::vector<Announcement> announcements() const;
    /// @brief Whether selectForGossip() would return any announcement.
    /// @param sendCountMax Number of messages in which a changed announcement is sent.
    [[nodiscard]] bool hasPendingGossip(std::size_t sendCountMax) const;
    /// @brief Selects the announcements that were sent least often.
    /// @param countMax Maximum number of announcements.
    /// @param sendCountMax Number of messages in which a changed announcement is sent.
    [[nodiscard]] std::vector<SharedAnnouncement>
    selectForGossip(std::size_t countMax, std::size_t sendCountMax, Instant now);

private:
    struct Entry
    {
        Announcement announcement;
        Instant receivedAt;
        Instant gossipReceivedAt; ///< receivedAt of the copy that is being gossiped.
        std::size_t sendCount = 0;
    };

    bool store(const Announcement &announcement, Instant receivedAt);

    Duration timeToLive_;
    std::map<std::string, Entry> entries_;
};

} // namespace hyssoprock
