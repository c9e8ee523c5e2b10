#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/membership.hpp>

/// @file
/// @brief Endpoints that have announced themselves in a data centre.

namespace hyssoprock {

/// @brief Newest announcement of each endpoint, with its age.
///
/// An announcement that is passed on states its age without the delay of the message. To keep
/// copies from renewing each other, a copy renews an announcement only if it is newer by a
/// quarter of the time to live.
class AnnouncementTable
{
public:
    /// @brief Makes an empty table.
    /// @param timeToLive Time after which an endpoint is forgotten.
    explicit AnnouncementTable(Duration timeToLive) noexcept;

    /// @brief Takes an announcement from the endpoint itself.
    /// @return Whether the endpoint is new, has restarted or has changed.
    bool take(const Announcement &announcement, Instant now);
    /// @brief Takes an announcement that another host has passed on.
    /// @return Whether the endpoint is new, has restarted or has changed.
    bool merge(const SharedAnnouncement &shared, Instant now);
    /// @brief Forgets endpoints that have not announced themselves for too long.
    /// @return Their names.
    [[nodiscard]] std::vector<std::string> expire(Instant now);
    /// @brief When expire() has something to do next.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;
    /// @brief All endpoints, sorted by name.
    [[nodiscard]] std::vector<Announcement> announcements() const;
    /// @brief Whether choose() would return any.
    /// @param sends Messages in which a changed announcement is passed on.
    [[nodiscard]] bool anyToPassOn(std::size_t sends) const;
    /// @brief Chooses announcements to pass on: those that were passed on least.
    /// @param most Most announcements.
    /// @param sends Messages in which a changed announcement is passed on.
    [[nodiscard]] std::vector<SharedAnnouncement> choose(std::size_t most, std::size_t sends,
                                                         Instant now);

private:
    struct Held
    {
        Announcement announcement;
        Instant receivedAt;
        Instant sharedAt; ///< receivedAt of the copy that is being passed on.
        std::size_t timesSent = 0;
    };

    bool hold(const Announcement &announcement, Instant receivedAt);

    Duration timeToLive_;
    std::map<std::string, Held> held_;
};

} // namespace hyssoprock
