#include <hyssoprock/request/ack_tracker.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/earlier.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

/// Number of terms per group. Indexes of older terms are dropped; answers from these terms are then
/// not delivered.
constexpr std::size_t rememberedTermsMax = 8;

} // namespace

AckTracker::AckTracker(Duration pollInterval)
    : pollInterval_{pollInterval}
{}

void AckTracker::recordMajorityIndex(std::string_view group, std::uint64_t term,
                                     std::uint64_t majorityIndex)
{
    auto found = groups_.find(group);
    if (found == groups_.end()) {
        found = groups_.emplace(std::string{group}, GroupState{}).first;
    }
    auto &index = found->second.majorityIndexes[term];
    index = std::max(index, majorityIndex);
    if (found->second.majorityIndexes.size() > rememberedTermsMax) {
        found->second.majorityIndexes.erase(found->second.majorityIndexes.begin());
    }
}

bool AckTracker::isHeldByMajority(std::string_view group, const LogPosition &position) const
{
    if (position.index == 0) {
        return true;
    }
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return false;
    }
    const auto index = found->second.majorityIndexes.find(position.term);
    return index != found->second.majorityIndexes.end() && index->second >= position.index;
}

void AckTracker::add(PendingAck pending)
{
    auto found = groups_.find(pending.group);
    if (found == groups_.end()) {
        found = groups_.emplace(pending.group, GroupState{}).first;
    }
    auto &state = found->second;
    if (state.waits == 0) {
        state.nextPoll = std::max(state.nextPoll, pending.waitingSince + pollInterval_);
    }
    ++state.waits;
    const Key key{pending.session, pending.request};
    const bool added = pending_.emplace(key, std::move(pending)).second;
    check(added, "a request waits for one majority at a time");
}

std::map<AckTracker::Key, PendingAck>::iterator
AckTracker::erase(std::map<Key, PendingAck>::iterator position)
{
    --groups_.find(position->second.group)->second.waits;
    return pending_.erase(position);
}

void AckTracker::remove(std::uint64_t session, std::uint64_t request)
{
    if (const auto found = pending_.find(Key{session, request}); found != pending_.end()) {
        erase(found);
    }
}

std::optional<AckOutcome> AckTracker::outcome(const PendingAck &pending, const ViewTable &views,
                                              Instant now) const
{
    if (pending.fromPrimary && views.isTermSuperseded(pending.group, pending.position.term)) {
        return AckOutcome::TermSuperseded;
    }
    const bool allowed =
        !pending.fromPrimary
        || views.mayAcknowledge(pending.group, pending.endpoint, pending.position.term, now);
    if (allowed && isHeldByMajority(pending.group, pending.position)) {
        return AckOutcome::Held;
    }
    return now >= pending.deadline ? std::optional{AckOutcome::TimedOut} : std::nullopt;
}

std::vector<ResolvedAck> AckTracker::takeResolved(const ViewTable &views, Instant now)
{
    std::vector<ResolvedAck> resolved;
    for (auto i = pending_.begin(); i != pending_.end();) {
        if (const auto result = outcome(i->second, views, now)) {
            resolved.push_back({i->second.session, i->second.request, *result});
            i = erase(i);
        } else {
            ++i;
        }
    }
    return resolved;
}

std::vector<std::string> AckTracker::takePolls(Instant now)
{
    std::vector<std::string> due;
    for (auto &[group, state] : groups_) {
        if (state.waits > 0 && now >= state.nextPoll) {
            state.nextPoll = now + pollInterval_;
            due.push_back(group);
        }
    }
    return due;
}

std::size_t AckTracker::primaryWaitCount(std::string_view group) const
{
    return static_cast<std::size_t>(
        std::count_if(pending_.begin(), pending_.end(), [group](const auto &entry) {
            return entry.second.fromPrimary && entry.second.group == group;
        }));
}

std::optional<Instant> AckTracker::nextDeadline() const
{
    std::optional<Instant> next;
    for (const auto &[key, pending] : pending_) {
        next = earlier(next, pending.deadline);
    }
    for (const auto &[group, state] : groups_) {
        if (state.waits > 0) {
            next = earlier(next, state.nextPoll);
        }
    }
    return next;
}

} // namespace hyssoprock
