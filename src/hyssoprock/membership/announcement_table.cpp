#include <hyssoprock/membership/announcement_table.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

// Unchanged announcements are gossiped again after half of the time to live. A receiver accepts
// them after a quarter, which allows for clock differences and message delays.
constexpr int gossipIntervalDivisor = 2;
constexpr int renewIntervalDivisor = 4;

} // namespace

AnnouncementTable::AnnouncementTable(Duration timeToLive) noexcept
    : timeToLive_{timeToLive}
{}

bool AnnouncementTable::add(const Announcement &announcement, Instant now)
{
    const auto found = entries_.find(announcement.endpoint);
    if (found == entries_.end() || found->second.announcement != announcement) {
        return store(announcement, now);
    }
    auto &entry = found->second;
    entry.receivedAt = now;
    if (now >= entry.gossipReceivedAt + timeToLive_ / gossipIntervalDivisor) {
        entry.gossipReceivedAt = now;
        entry.sendCount = 0;
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
    const auto found = entries_.find(announcement.endpoint);
    if (found == entries_.end()
        || announcement.incarnation > found->second.announcement.incarnation) {
        return store(announcement, receivedAt);
    }
    if (announcement.incarnation < found->second.announcement.incarnation
        || receivedAt < found->second.receivedAt + timeToLive_ / renewIntervalDivisor) {
        return false;
    }
    if (found->second.announcement != announcement) {
        return store(announcement, receivedAt);
    }
    found->second.receivedAt = receivedAt;
    found->second.gossipReceivedAt = receivedAt;
    found->second.sendCount = 0;
    return false;
}

bool AnnouncementTable::store(const Announcement &announcement, Instant receivedAt)
{
    const auto [found, added] = entries_.try_emplace(announcement.endpoint);
    if (!added && announcement.incarnation < found->second.announcement.incarnation) {
        return false;
    }
    found->second = Entry{announcement, receivedAt, receivedAt};
    return true;
}

std::vector<std::string> AnnouncementTable::expire(Instant now)
{
    std::vector<std::string> expired;
    for (auto next = entries_.begin(); next != entries_.end();) {
        if (now >= next->second.receivedAt + timeToLive_) {
            expired.push_back(next->first);
            next = entries_.erase(next);
        } else {
            ++next;
        }
    }
    return expired;
}

std::optional<Instant> AnnouncementTable::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[endpoint, entry] : entries_) {
        const auto expiry = entry.receivedAt + timeToLive_;
        next = next ? std::min(*next, expiry) : expiry;
    }
    return next;
}

std::vector<Announcement> AnnouncementTable::announcements() const
{
    std::vector<Announcement> announcements;
    announcements.reserve(entries_.size());
    for (const auto &[endpoint, entry] : entries_) {
        announcements.push_back(entry.announcement);
    }
    return announcements;
}

bool AnnouncementTable::hasPendingGossip(std::size_t sendCountMax) const
{
    return std::any_of(entries_.begin(), entries_.end(), [sendCountMax](const auto &item) {
        return item.second.sendCount < sendCountMax;
    });
}

std::vector<SharedAnnouncement>
AnnouncementTable::selectForGossip(std::size_t countMax, std::size_t sendCountMax, Instant now)
{
    std::vector<Entry *> pending;
    for (auto &[endpoint, entry] : entries_) {
        if (entry.sendCount < sendCountMax) {
            pending.push_back(&entry);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const Entry *left, const Entry *right) {
        return left->sendCount < right->sendCount;
    });
    pending.resize(std::min(pending.size(), countMax));
    std::vector<SharedAnnouncement> selected;
    for (auto *entry : pending) {
        ++entry->sendCount;
        const auto age = std::max<std::int64_t>(0, toMilliseconds(now - entry->receivedAt));
        selected.push_back({entry->announcement, static_cast<std::uint64_t>(age)});
    }
    return selected;
}

} // namespace hyssoprock
