#include <hyssoprock/promotion/primary_evidence.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration askInterval = std::chrono::milliseconds{600};
constexpr Duration roleCheckInterval = std::chrono::seconds{1};
constexpr Duration acceptedFailure = std::chrono::seconds{1};
/// One mistaken entry host must not cause queries.
constexpr std::size_t notPrimaryReports = 2;

} // namespace

PrimaryJudgment PrimaryEvidence::judgeHeartbeats(const KnownEndpoint &primary, Instant stableUntil,
                                                 Instant now)
{
    unreachableSince_.reset();
    if (const auto freshUntil = scope_.freshUntil(primary); now < freshUntil) {
        scope_.wakeAt(freshUntil);
    } else if (checkedAt_ && now < *checkedAt_ + askInterval) {
        scope_.wakeAt(*checkedAt_ + askInterval);
    } else if (now < stableUntil) {
        scope_.wakeAt(stableUntil);
    } else {
        checkedAt_ = now;
        return {PrimaryVerdict::QueryPrimary};
    }
    return {};
}

PrimaryJudgment PrimaryEvidence::judge(const KnownEndpoint &primary, Instant stableUntil,
                                       Instant now)
{
    const auto &hosts = scope_.context().entryHosts;
    if (hosts.empty()) {
        return judgeHeartbeats(primary, stableUntil, now);
    }
    const auto &id = primary.record.id;
    const auto count = votes_.count(id, hosts, now);
    if (count.nextExpiry) {
        scope_.wakeAt(*count.nextExpiry);
    }
    const auto freshUntil = scope_.freshUntil(primary);
    if (now < freshUntil) {
        scope_.wakeAt(freshUntil);
    }
    // Without traffic nobody reports a dead primary, so missing heartbeats are a reason to ask.
    if (count.unreachable > 0 || now >= freshUntil) {
        if (!askedAt_ || askedEndpoint_ != id || now >= *askedAt_ + askInterval) {
            askedAt_ = now;
            askedEndpoint_ = id;
            scope_.act(promotion::RequestEvidence{scope_.service(), id});
        }
        scope_.wakeAt(*askedAt_ + askInterval);
    }
    if (unreachable(id, now)) {
        unreachableSince_ = unreachableSince_.value_or(now);
        if (now >= stableUntil || now >= *unreachableSince_ + acceptedFailure) {
            return {PrimaryVerdict::Replace, id + " is unreachable for "
                                                 + std::to_string(count.unreachable) + " of "
                                                 + std::to_string(hosts.size()) + " entry hosts"};
        }
        scope_.wakeAt(std::min(*unreachableSince_ + acceptedFailure, stableUntil));
        return {};
    }
    unreachableSince_.reset();
    if (count.notPrimary < std::min(notPrimaryReports, hosts.size())) {
        return {};
    }
    if (now < stableUntil) {
        scope_.wakeAt(stableUntil);
    } else if (checkedAt_ && now < *checkedAt_ + roleCheckInterval) {
        scope_.wakeAt(*checkedAt_ + roleCheckInterval);
    } else {
        checkedAt_ = now;
        votes_.clear(id);
        scope_.log("entry hosts find that " + id + " is not primary; queries all endpoints");
        return {PrimaryVerdict::QueryRoles};
    }
    return {};
}

void PrimaryEvidence::clear()
{
    votes_.clear();
    unreachableSince_.reset();
    askedAt_.reset();
}

} // namespace hyssoprock::internal
