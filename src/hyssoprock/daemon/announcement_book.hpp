#pragma once

#include <map>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/common.hpp>

/// @file
/// @brief Announcements of endpoints on their way to the control group.

namespace hyssoprock {

/// @brief Announcements that the leader has not confirmed yet, or should hear of again.
class AnnouncementBook
{
public:
    /// @brief Makes an empty book.
    /// @param repeat Interval at which an unchanged announcement is reported again, so that a new
    /// leader learns of endpoints as well.
    explicit AnnouncementBook(Duration repeat) noexcept
        : repeat_{repeat}
    {}

    /// @brief Takes an announcement; one of an older incarnation is ignored.
    /// @param announcement The announcement.
    /// @param now Present time.
    /// @return Whether it is new or has changed.
    bool take(const Announcement &announcement, Instant now);

    /// @brief Announcements for the next renewal.
    /// @param now Present time.
    [[nodiscard]] std::vector<Announcement> due(Instant now) const;

    /// @brief Notes that the leader has answered a renewal with these announcements.
    /// @param reported Result of due().
    /// @param now Present time.
    void confirmed(const std::vector<Announcement> &reported, Instant now);

private:
    struct Entry
    {
        Announcement announcement;
        Instant heard{};
        Instant reportAt{};
    };

    Duration repeat_;
    std::map<std::string, Entry> entries_{};
};

} // namespace hyssoprock
