#include <hyssoprock/promotion/promotion_candidates.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoprock::internal {

void PromotionCandidates::expireExclusions(Instant now)
{
    std::erase_if(excludedUntil_, [now](const auto &entry) { return entry.second <= now; });
}

bool PromotionCandidates::isEligible(const KnownEndpoint &endpoint, Instant now) const
{
    return endpoint.record.phase == EndpointPhase::Ready
           && !excludedUntil_.contains(endpoint.record.id)
           && !evidence_.isUnreachable(endpoint.record.id, now);
}

std::uint64_t PromotionCandidates::newestKnownTerm() const noexcept
{
    return termStarts_.empty() ? 0 : termStarts_.back().term;
}

std::vector<const KnownEndpoint *> PromotionCandidates::list(const std::string &replaced,
                                                             Instant now) const
{
    std::vector<const KnownEndpoint *> all;
    for (const auto *const member : scope_.members()) {
        if (member->record.id != replaced && isEligible(*member, now)) {
            all.push_back(member);
        }
    }
    auto fresh = all;
    std::erase_if(fresh, [&](const auto *member) { return now >= scope_.freshUntil(*member); });
    return fresh.empty() ? all : fresh;
}

const KnownEndpoint *
PromotionCandidates::mostAdvanced(const std::string &replaced,
                                  const std::map<std::string, EndpointStatusRow> &rows,
                                  Instant now) const
{
    const auto endpoints = list(replaced, now);
    const auto rank = [&rows, this](const KnownEndpoint *endpoint) {
        const auto row = rows.find(endpoint->record.id);
        return std::tuple{row != rows.end(), row != rows.end() && !holdsGivenUpEntries(row->second),
                          row != rows.end() ? row->second.received : LogPosition{},
                          endpoint->lastHeartbeatAt};
    };
    const auto best =
        std::max_element(endpoints.begin(), endpoints.end(),
                         [&](const auto *a, const auto *b) { return rank(a) < rank(b); });
    return best == endpoints.end() ? nullptr : *best;
}

} // namespace hyssoprock::internal
