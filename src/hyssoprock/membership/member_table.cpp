#include <hyssoprock/membership/member_table.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace hyssoprock {

namespace {

// A change reaches n hosts in O(log n) messages per host. Sending three times as many compensates
// for lost ones.
constexpr std::size_t sendCountPerDoubling = 3;

bool replaces(const HostRecord &record, const HostRecord &known)
{
    return record.incarnation > known.incarnation
           || (record.incarnation == known.incarnation && record.state > known.state);
}

} // namespace

MemberTable::MemberTable(Duration suspicionTimeout, Duration forgetDelay) noexcept
    : suspicionTimeout_{suspicionTimeout}
    , forgetDelay_{forgetDelay}
{}

bool MemberTable::merge(const HostRecord &record, Instant now)
{
    const auto found = members_.find(record.host);
    if (found == members_.end()) {
        // A removed host must not be added again because other hosts still have its record.
        return record.state < HostState::Dead
               && members_.emplace(record.host, Member{record, now}).second;
    }
    if (!replaces(record, found->second.record)) {
        return false;
    }
    found->second = Member{record, now, 0, found->second.seed};
    return true;
}

void MemberTable::addSeed(const std::string &host, const std::string &address, Instant now)
{
    Member member{HostRecord{host, {}, address, 0, HostState::Alive}, now};
    // High enough that the record, which contains no information, is not gossiped.
    member.sendCount = sendCountPerDoubling * 64;
    member.seed = true;
    members_.try_emplace(host, std::move(member));
}

std::optional<Instant> MemberTable::expiryOf(const Member &member) const
{
    switch (member.record.state) {
    case HostState::Alive:
        return std::nullopt;
    case HostState::Suspect:
        return member.changedAt + suspicionTimeout_;
    case HostState::Dead:
    case HostState::Left:
        break;
    }
    return member.seed ? std::nullopt : std::optional{member.changedAt + forgetDelay_};
}

std::vector<HostRecord> MemberTable::expire(Instant now)
{
    std::vector<HostRecord> dead;
    for (auto next = members_.begin(); next != members_.end();) {
        auto &member = next->second;
        const auto expiry = expiryOf(member);
        if (!expiry || now < *expiry) {
            ++next;
        } else if (member.record.state == HostState::Suspect) {
            auto record = member.record;
            record.state = HostState::Dead;
            member = Member{record, now, 0, member.seed};
            dead.push_back(std::move(record));
            ++next;
        } else {
            next = members_.erase(next);
        }
    }
    return dead;
}

std::optional<Instant> MemberTable::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[host, member] : members_) {
        if (const auto expiry = expiryOf(member); expiry && (!next || *expiry < *next)) {
            next = expiry;
        }
    }
    return next;
}

const HostRecord *MemberTable::find(const std::string &host) const
{
    const auto found = members_.find(host);
    return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<HostRecord> MemberTable::records() const
{
    std::vector<HostRecord> records;
    records.reserve(members_.size());
    for (const auto &[host, member] : members_) {
        records.push_back(member.record);
    }
    return records;
}

std::vector<std::string> MemberTable::hostsInState(HostState state) const
{
    std::vector<std::string> names;
    for (const auto &[host, member] : members_) {
        if (member.record.state == state) {
            names.push_back(host);
        }
    }
    return names;
}

std::size_t MemberTable::sendCountMaxPerChange() const
{
    return sendCountPerDoubling * std::bit_width(members_.size() + 1);
}

std::vector<HostRecord> MemberTable::selectForGossip(std::size_t countMax)
{
    std::vector<Member *> pending;
    const auto sendCountMax = sendCountMaxPerChange();
    for (auto &[host, member] : members_) {
        if (member.sendCount < sendCountMax) {
            pending.push_back(&member);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const Member *left, const Member *right) {
        return left->sendCount < right->sendCount;
    });
    pending.resize(std::min(pending.size(), countMax));
    std::vector<HostRecord> selected;
    for (auto *member : pending) {
        ++member->sendCount;
        selected.push_back(member->record);
    }
    if (selected.size() < countMax && !members_.empty()) {
        auto nextInTurn = members_.upper_bound(lastInTurn_);
        nextInTurn = nextInTurn == members_.end() ? members_.begin() : nextInTurn;
        lastInTurn_ = nextInTurn->first;
        if (nextInTurn->second.record.incarnation > 0
            && std::find(selected.begin(), selected.end(), nextInTurn->second.record)
                   == selected.end()) {
            selected.push_back(nextInTurn->second.record);
        }
    }
    return selected;
}

} // namespace hyssoprock
