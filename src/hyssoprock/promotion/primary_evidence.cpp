#include <hyssoprock/promotion/primary_evidence.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration evidenceRequestInterval = std::chrono::milliseconds{600};
constexpr Duration roleQueryInterval = std::chrono::seconds{1};
constexpr Duration failureConfirmationDelay = std::chrono::seconds{1};
/// A single mistaken entry host must not trigger queries.
constexpr std::size_t notPrimaryReportsMin = 2;

} // namespace

PrimaryAssessment PrimaryEvidence::evaluateHeartbeats(const KnownEndpoint &primary,
                                                      Instant stableUntil, Instant now)
{
    unreachableSince_.reset();
    if (const auto freshUntil = scope_.freshUntil(primary); now < freshUntil) {
        scope_.evaluateBy(freshUntil);
    } else if (queriedAt_ && now < *queriedAt_ + evidenceRequestInterval) {
        scope_.evaluateBy(*queriedAt_ + evidenceRequestInterval);
    } else if (now < stableUntil) {
        scope_.evaluateBy(stableUntil);
    } else {
        queriedAt_ = now;
        return {PrimaryDecision::QueryPrimary};
    }
    return {};
}

PrimaryAssessment PrimaryEvidence::evaluate(const KnownEndpoint &primary, Instant stableUntil,
                                            Instant now)
{
    const auto &hosts = scope_.controller().entryHosts;
    if (hosts.empty()) {
        return evaluateHeartbeats(primary, stableUntil, now);
    }
    const auto &id = primary.record.id;
    const auto count = votes_.count(id, hosts, now);
    if (count.nextExpiry) {
        scope_.evaluateBy(*count.nextExpiry);
    }
    const auto freshUntil = scope_.freshUntil(primary);
    if (now < freshUntil) {
        scope_.evaluateBy(freshUntil);
    }
    // Without traffic no entry host notices a dead primary, so missing heartbeats also trigger a
    // request.
    if (count.unreachable > 0 || now >= freshUntil) {
        if (!requestedAt_ || requestedEndpoint_ != id
            || now >= *requestedAt_ + evidenceRequestInterval) {
            requestedAt_ = now;
            requestedEndpoint_ = id;
            scope_.addAction(promotion::RequestEvidence{scope_.service(), id});
        }
        scope_.evaluateBy(*requestedAt_ + evidenceRequestInterval);
    }
    if (isUnreachable(id, now)) {
        unreachableSince_ = unreachableSince_.value_or(now);
        if (now >= stableUntil || now >= *unreachableSince_ + failureConfirmationDelay) {
            return {PrimaryDecision::Replace, id + " is unreachable for "
                                                  + std::to_string(count.unreachable) + " of "
                                                  + std::to_string(hosts.size()) + " entry hosts"};
        }
        scope_.evaluateBy(std::min(*unreachableSince_ + failureConfirmationDelay, stableUntil));
        return {};
    }
    unreachableSince_.reset();
    if (count.notPrimary < std::min(notPrimaryReportsMin, hosts.size())) {
        return {};
    }
    if (now < stableUntil) {
        scope_.evaluateBy(stableUntil);
    } else if (queriedAt_ && now < *queriedAt_ + roleQueryInterval) {
        scope_.evaluateBy(*queriedAt_ + roleQueryInterval);
    } else {
        queriedAt_ = now;
        votes_.clear(id);
        scope_.log("entry hosts report that " + id + " is not primary; querying all endpoints");
        return {PrimaryDecision::QueryRoles};
    }
    return {};
}

void PrimaryEvidence::clear()
{
    votes_.clear();
    unreachableSince_.reset();
    requestedAt_.reset();
}

} // namespace hyssoprock::internal
