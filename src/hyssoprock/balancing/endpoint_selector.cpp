#include <hyssoprock/balancing/endpoint_selector.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoprock {

namespace {

// An unanswered command that is late tells of congestion before any answer does. It does not change
// the share, because the statement may only be long.
constexpr std::int64_t waitingShareDivisor = 4;
// The cost of a distance includes that of its traffic; a quarter is the additional latency (16 ms
// of round trip between regions for a cost of 60 ms).
constexpr int distanceLatencyDivisor = 4;

std::optional<Duration> lowestOf(const std::vector<EndpointCandidate> &candidates)
{
    std::optional<Duration> result;
    for (const auto &candidate : candidates) {
        if (const auto low = candidate.load->lowLatency(); low && (!result || *low < *result)) {
            result = low;
        }
    }
    return result;
}

} // namespace

void EndpointSelector::rank(std::vector<EndpointCandidate> &candidates, Instant now)
{
    choices_.clear();
    const auto lowest = lowestOf(candidates);
    std::int64_t greatest = 1;
    for (auto &candidate : candidates) {
        auto share = candidate.load->share(now);
        const auto expected = expectedLatency(*candidate.load, candidate.distanceCost, lowest);
        if (EndpointLoad::isLate(candidate.oldestWait, expected.value_or(Duration::zero()))) {
            share /= waitingShareDivisor;
        }
        greatest = std::max(greatest, share);
        choices_.push_back(
            {&candidate, candidate.distanceCost + candidate.connectionCost, share, random_.next()});
    }
    std::sort(choices_.begin(), choices_.end(), [](const Choice &left, const Choice &right) {
        return std::tie(left.cost, left.tie) < std::tie(right.cost, right.tie);
    });
    const auto first = std::find_if(choices_.begin(), choices_.end(), [&](const Choice &choice) {
        return static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(greatest)))
               < choice.share;
    });
    if (first != choices_.end()) {
        std::rotate(choices_.begin(), first, first + 1);
    }
    std::uint32_t rank = 0;
    for (auto &choice : choices_) {
        choice.candidate->rank = rank++;
    }
}

std::optional<Duration> EndpointSelector::expectedLatency(const EndpointLoad &own,
                                                          Duration distanceCost,
                                                          std::optional<Duration> lowest)
{
    const auto low = own.lowLatency();
    if (!lowest) {
        return low;
    }
    const auto byDistance = *lowest + distanceCost / distanceLatencyDivisor;
    return low ? std::min(*low, byDistance) : byDistance;
}

} // namespace hyssoprock
