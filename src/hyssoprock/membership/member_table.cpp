#include <hyssoprock/membership/member_table.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace hyssoprock {

namespace {

// A change reaches n hosts in a time of the order of log n; three times as many messages make up
// for lost ones.
constexpr std::size_t sendsPerDoubling = 3;

bool replaces(const HostRecord &record, const HostRecord &known)
{
    return record.incarnation > known.incarnation
           || (record.incarnation == known.incarnation && record.state > known.state);
}

} // namespace

MemberTable::MemberTable(Duration suspicion, Duration forget) noexcept
    : suspicion_{suspicion}
    , forget_{forget}
{}

bool MemberTable::merge(const HostRecord &record, Instant now)
{
    const auto found = members_.find(record.host);
    if (found == members_.end()) {
        // A host that was forgotten here must not come back because others still remember it.
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
    // Nothing is known of it that would be worth passing on.
    member.timesSent = sendsPerDoubling * 64;
    member.seed = true;
    members_.try_emplace(host, std::move(member));
}

std::optional<Instant> MemberTable::expiryOf(const Member &member) const
{
    switch (member.record.state) {
    case HostState::Alive:
        return std::nullopt;
    case HostState::Suspect:
        return member.changedAt + suspicion_;
    case HostState::Dead:
    case HostState::Left:
        break;
    }
    return member.seed ? std::nullopt : std::optional{member.changedAt + forget_};
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

std::vector<std::string> MemberTable::namesIn(HostState state) const
{
    std::vector<std::string> names;
    for (const auto &[host, member] : members_) {
        if (member.record.state == state) {
            names.push_back(host);
        }
    }
    return names;
}

std::size_t MemberTable::sendsPerChange() const
{
    return sendsPerDoubling * std::bit_width(members_.size() + 1);
}

std::vector<HostRecord> MemberTable::choose(std::size_t most)
{
    std::vector<Member *> fresh;
    const auto sends = sendsPerChange();
    for (auto &[host, member] : members_) {
        if (member.timesSent < sends) {
            fresh.push_back(&member);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), [](const Member *left, const Member *right) {
        return left->timesSent < right->timesSent;
    });
    fresh.resize(std::min(fresh.size(), most));
    std::vector<HostRecord> chosen;
    for (auto *member : fresh) {
        ++member->timesSent;
        chosen.push_back(member->record);
    }
    if (chosen.size() < most && !members_.empty()) {
        auto turn = members_.upper_bound(turn_);
        turn = turn == members_.end() ? members_.begin() : turn;
        turn_ = turn->first;
        if (turn->second.record.incarnation > 0
            && std::find(chosen.begin(), chosen.end(), turn->second.record) == chosen.end()) {
            chosen.push_back(turn->second.record);
        }
    }
    return chosen;
}

} // namespace hyssoprock
