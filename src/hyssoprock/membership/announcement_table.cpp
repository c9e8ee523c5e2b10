#include <hyssoprock/membership/announcement_table.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

// Unchanged announcements are passed on again after half their time to live. A receiver takes them
// already after a quarter, as its clock and the time on the way differ.
constexpr int shareFraction = 2;
constexpr int renewFraction = 4;

} // namespace

AnnouncementTable::AnnouncementTable(Duration timeToLive) noexcept
    : timeToLive_{timeToLive}
{}

bool AnnouncementTable::take(const Announcement &announcement, Instant now)
{
    const auto found = held_.find(announcement.endpoint);
    if (found == held_.end() || found->second.announcement != announcement) {
        return hold(announcement, now);
    }
    auto &held = found->second;
    held.receivedAt = now;
    if (now >= held.sharedAt + timeToLive_ / shareFraction) {
        held.sharedAt = now;
        held.timesSent = 0;
    }
    return false;
}

bool AnnouncementTable::merge(const SharedAnnouncement &shared, Instant now)
{
    if (shared.ageMs >= static_cast<std::uint64_t>(toMilliseconds(timeToLive_))) {
        return false;
    }
    const auto receivedAt =
        now - std::chrono::milliseconds{static_cast<std::int64_t>(shared.ageMs)};
    const auto &announcement = shared.announcement;
    const auto found = held_.find(announcement.endpoint);
    if (found == held_.end() || announcement.incarnation > found->second.announcement.incarnation) {
        return hold(announcement, receivedAt);
    }
    if (announcement.incarnation < found->second.announcement.incarnation
        || receivedAt < found->second.receivedAt + timeToLive_ / renewFraction) {
        return false;
    }
    if (found->second.announcement != announcement) {
        return hold(announcement, receivedAt);
    }
    found->second.receivedAt = receivedAt;
    found->second.sharedAt = receivedAt;
    found->second.timesSent = 0;
    return false;
}

bool AnnouncementTable::hold(const Announcement &announcement, Instant receivedAt)
{
    const auto [found, added] = held_.try_emplace(announcement.endpoint);
    if (!added && announcement.incarnation < found->second.announcement.incarnation) {
        return false;
    }
    found->second = Held{announcement, receivedAt, receivedAt};
    return true;
}

std::vector<std::string> AnnouncementTable::expire(Instant now)
{
    std::vector<std::string> expired;
    for (auto next = held_.begin(); next != held_.end();) {
        if (now >= next->second.receivedAt + timeToLive_) {
            expired.push_back(next->first);
            next = held_.erase(next);
        } else {
            ++next;
        }
    }
    return expired;
}

std::optional<Instant> AnnouncementTable::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[endpoint, held] : held_) {
        const auto expiry = held.receivedAt + timeToLive_;
        next = next ? std::min(*next, expiry) : expiry;
    }
    return next;
}

std::vector<Announcement> AnnouncementTable::announcements() const
{
    std::vector<Announcement> announcements;
    announcements.reserve(held_.size());
    for (const auto &[endpoint, held] : held_) {
        announcements.push_back(held.announcement);
    }
    return announcements;
}

bool AnnouncementTable::anyToPassOn(std::size_t sends) const
{
    return std::any_of(held_.begin(), held_.end(),
                       [sends](const auto &item) { return item.second.timesSent < sends; });
}

std::vector<SharedAnnouncement> AnnouncementTable::choose(std::size_t most, std::size_t sends,
                                                          Instant now)
{
    std::vector<Held *> fresh;
    for (auto &[endpoint, held] : held_) {
        if (held.timesSent < sends) {
            fresh.push_back(&held);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), [](const Held *left, const Held *right) {
        return left->timesSent < right->timesSent;
    });
    fresh.resize(std::min(fresh.size(), most));
    std::vector<SharedAnnouncement> chosen;
    for (auto *held : fresh) {
        ++held->timesSent;
        const auto age = std::max<std::int64_t>(0, toMilliseconds(now - held->receivedAt));
        chosen.push_back({held->announcement, static_cast<std::uint64_t>(age)});
    }
    return chosen;
}

} // namespace hyssoprock
