#include <hyssoprock/daemon/announcement_book.hpp>

namespace hyssoprock {

namespace {

// An endpoint announces itself about once a second; one that is silent for so long has left.
constexpr Duration expiry = std::chrono::seconds{10};

} // namespace

bool AnnouncementBook::take(const Announcement &announcement, Instant now)
{
    auto &entry = entries_[announcement.endpoint];
    if (announcement.incarnation < entry.announcement.incarnation) {
        return false;
    }
    entry.heard = now;
    if (entry.announcement == announcement) {
        return false;
    }
    entry.announcement = announcement;
    entry.reportAt = now;
    return true;
}

std::vector<Announcement> AnnouncementBook::due(Instant now) const
{
    std::vector<Announcement> due;
    for (const auto &[endpoint, entry] : entries_) {
        if (entry.reportAt <= now && now - entry.heard < expiry) {
            due.push_back(entry.announcement);
        }
    }
    return due;
}

void AnnouncementBook::confirmed(const std::vector<Announcement> &reported, Instant now)
{
    for (const auto &announcement : reported) {
        const auto found = entries_.find(announcement.endpoint);
        if (found != entries_.end() && found->second.announcement == announcement) {
            found->second.reportAt = now + repeat_;
        }
    }
}

} // namespace hyssoprock
