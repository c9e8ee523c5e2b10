#include <hyssoprock/load/load_timeline.hpp>

#include <algorithm>
#include <chrono>

namespace hyssoprock::load {

namespace {

constexpr std::int64_t intervalsMost = 300;
// Shorter times pass between probe writes without a fault.
constexpr Duration gapLeast = std::chrono::milliseconds{200};

} // namespace

LoadTimeline::LoadTimeline(Instant start, Duration length)
    : start_{start}
{
    const auto seconds =
        std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(length).count(), 1);
    interval_ = std::chrono::seconds{(seconds + intervalsMost - 1) / intervalsMost};
    intervals_.resize(static_cast<std::size_t>(
        (std::chrono::seconds{seconds} + interval_ - Duration{1}) / interval_));
}

IntervalFigures &LoadTimeline::at(Instant now)
{
    // Answers that arrive while the run drains count in its last interval.
    const auto index = std::max(now - start_, Duration{0}) / interval_;
    return intervals_[std::min(static_cast<std::size_t>(index), intervals_.size() - 1)];
}

void LoadTimeline::add(const StepResult &result, Duration latency)
{
    auto &figures = at(result.record.answeredAt);
    ++figures.outcomes[result.record.outcome];
    if (result.record.outcome == Outcome::Done) {
        figures.latency.add(latency);
        if (result.step.aged && !result.servedBy.empty()) {
            ++figures.agedReads;
            figures.replicaReads += result.servedBy == "replica" ? 1 : 0;
        }
    }
    if (!result.error.empty()) {
        ++figures.errors[result.error];
    }
}

void LoadTimeline::noteSessions(std::uint64_t used, Instant now)
{
    auto &figures = at(now);
    figures.sessionsUsed = std::max(figures.sessionsUsed, used);
}

void LoadTimeline::noteGap(const std::string &group, Instant from, Instant until)
{
    if (until - from >= gapLeast) {
        gaps_.push_back({group, from - start_, until - from});
    }
}

} // namespace hyssoprock::load
