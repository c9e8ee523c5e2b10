#include <hyssoprock/freshness/position_history.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// Denser samples would hardly lower a required position.
constexpr Duration sampleInterval = std::chrono::milliseconds{10};
constexpr Duration sampleLifetime = std::chrono::seconds{30};

} // namespace

void PositionHistory::add(Instant sentAt, LogPosition position)
{
    if (position.term < termStart_.term) {
        return;
    }
    if (position.term > termStart_.term) {
        samples_.clear();
        termStart_ = position;
    }
    // Answers on different connections arrive out of order. A later request covers at least as much
    // as an earlier one, so a sample older than the newest is not needed.
    if (!samples_.empty() && sentAt < samples_.back().sentAt + sampleInterval) {
        return;
    }
    samples_.push_back({sentAt, position});
    while (samples_.front().sentAt + sampleLifetime < sentAt) {
        samples_.pop_front();
    }
}

std::optional<LogPosition> PositionHistory::requiredPosition(Instant now, Duration staleness) const
{
    const auto oldest = now - staleness;
    const auto found =
        std::lower_bound(samples_.begin(), samples_.end(), oldest,
                         [](const Sample &sample, Instant at) { return sample.sentAt < at; });
    if (found == samples_.end()) {
        return std::nullopt;
    }
    return found->position;
}

LogPosition PositionHistory::translateToNewestTerm(LogPosition position) const
{
    return position.term < termStart_.term ? termStart_ : position;
}

std::optional<Instant> PositionHistory::newestSampleAt() const
{
    if (samples_.empty()) {
        return std::nullopt;
    }
    return samples_.back().sentAt;
}

} // namespace hyssoprock
