#include <hyssoprock/promotion/primary_evidence.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock::internal {

namespace {

constexpr Duration evidenceRequestInterval = std::chrono::milliseconds{600};
/// Entry hosts that are asked first. All are asked only if many of them cannot reach the endpoint.
constexpr std::size_t panelSize = 16;
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
    if (hosts.empty() || primary.expired) {
        // An expired endpoint is not listed to entry hosts, so they cannot report on it.
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
        requestReports(id, count, now);
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

void PrimaryEvidence::requestReports(const std::string &endpoint, const ReachabilityCount &count,
                                     Instant now)
{
    // Hosts answer with a new connection. If all did so at once, they would overload the endpoint
    // and report it as silent, which would lead to the next request.
    const auto all =
        scope_.controller().entryHosts.size() <= panelSize
        || (count.unreachable >= panelSize / 4 && count.unreachable >= count.reachable);
    const auto repeated = requestedAt_ && requestedEndpoint_ == endpoint
                          && now < *requestedAt_ + evidenceRequestInterval;
    if (!repeated || (all && !requestedFromAll_)) {
        requestedAt_ = now;
        requestedEndpoint_ = endpoint;
        requestedFromAll_ = all;
        ++round_;
        scope_.addAction(promotion::RequestEvidence{
            scope_.service(), endpoint, all ? std::vector<std::string>{} : samplePanel(endpoint)});
    }
    scope_.evaluateBy(*requestedAt_ + evidenceRequestInterval);
}

std::vector<std::string> PrimaryEvidence::samplePanel(const std::string &endpoint) const
{
    const auto &hosts = scope_.controller().entryHosts;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(hosts.size());
    for (const auto &host : hosts) {
        ranked.emplace_back(computeNameDigest({endpoint, std::to_string(round_), host}), host);
    }
    std::partial_sort(ranked.begin(), ranked.begin() + panelSize, ranked.end());
    std::vector<std::string> panel;
    panel.reserve(panelSize);
    for (std::size_t i = 0; i < panelSize; ++i) {
        panel.push_back(std::move(ranked[i].second));
    }
    return panel;
}

void PrimaryEvidence::clear()
{
    votes_.clear();
    unreachableSince_.reset();
    requestedAt_.reset();
}

} // namespace hyssoprock::internal
