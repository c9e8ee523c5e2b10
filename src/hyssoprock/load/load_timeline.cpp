#include <hyssoprock/load/load_timeline.hpp>

#include <algorithm>
#include <chrono>

namespace hyssoprock::load {

namespace {

constexpr std::int64_t intervalCountMax = 300;
// Shorter gaps between probe writes occur without a fault.
constexpr Duration recordedGapMin = std::chrono::milliseconds{200};

} // namespace

LoadTimeline::LoadTimeline(Instant start, Duration length)
    : start_{start}
{
    const auto seconds =
        std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(length).count(), 1);
    interval_ = std::chrono::seconds{(seconds + intervalCountMax - 1) / intervalCountMax};
    intervals_.resize(static_cast<std::size_t>(
        (std::chrono::seconds{seconds} + interval_ - Duration{1}) / interval_));
}

IntervalStatistics &LoadTimeline::intervalAt(Instant now)
{
    // Responses that arrive while the run drains count in the last interval.
    const auto index = std::max(now - start_, Duration{0}) / interval_;
    return intervals_[std::min(static_cast<std::size_t>(index), intervals_.size() - 1)];
}

void LoadTimeline::add(const OperationResult &result, Duration latency)
{
    auto &statistics = intervalAt(result.record.respondedAt);
    ++statistics.outcomes[result.record.outcome];
    if (result.record.outcome == Outcome::Done) {
        statistics.latency.add(latency);
        if (result.operation.allowStale && !result.servedBy.empty()) {
            ++statistics.allowStaleReads;
            statistics.replicaReads += result.servedBy == "replica" ? 1 : 0;
        }
    }
    if (!result.error.empty()) {
        ++statistics.errors[result.error];
    }
}

void LoadTimeline::recordActiveSessions(std::uint64_t count, Instant now)
{
    auto &statistics = intervalAt(now);
    statistics.activeSessionsMax = std::max(statistics.activeSessionsMax, count);
}

void LoadTimeline::recordGap(const std::string &group, Instant from, Instant until)
{
    if (until - from >= recordedGapMin) {
        gaps_.push_back({group, from - start_, until - from});
    }
}

} // namespace hyssoprock::load
