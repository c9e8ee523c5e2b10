#include <hyssoprock/routing/age_tracker.hpp>

#include <algorithm>

#include <hyssoprock/core/earlier.hpp>

namespace hyssoprock {

namespace {

/// Polls of a group end after this time without a read.
constexpr Duration pollingLifetime = std::chrono::seconds{5};
constexpr Duration pollIntervalMin = std::chrono::milliseconds{5};
constexpr Duration pollIntervalMax = std::chrono::seconds{1};

} // namespace

void AgeTracker::recordSample(std::string_view group, Instant sentAt, const LogPosition &position)
{
    auto found = groups_.find(group);
    if (found == groups_.end()) {
        found = groups_.emplace(std::string{group}, Group{}).first;
    }
    auto &samples = found->second.samples;
    // A sample is redundant if a later one has no higher position, because that one proves more.
    const auto proven = std::any_of(samples.rbegin(), samples.rend(), [&](const Sample &other) {
        return other.sentAt >= sentAt && other.position <= position;
    });
    if (proven) {
        return;
    }
    std::erase_if(samples, [&](const Sample &other) {
        return other.sentAt <= sentAt && other.position >= position;
    });
    const auto place =
        std::upper_bound(samples.begin(), samples.end(), sentAt,
                         [](Instant time, const Sample &other) { return time < other.sentAt; });
    samples.insert(place, Sample{sentAt, position});
    if (samples.size() > samplesMax) {
        // Removes every second sample of the older half. Fewer samples only increase ages.
        std::vector<Sample> kept;
        for (std::size_t i = 0; i < samples.size(); ++i) {
            if (i % 2 == 0 || i >= samplesMax / 2) {
                kept.push_back(samples[i]);
            }
        }
        samples = std::move(kept);
    }
}

std::optional<Instant> AgeTracker::completeUntil(std::string_view group,
                                                 const LogPosition &position) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return std::nullopt;
    }
    const auto &samples = found->second.samples;
    const auto after =
        std::upper_bound(samples.begin(), samples.end(), position,
                         [](const LogPosition &p, const Sample &s) { return p < s.position; });
    return after == samples.begin() ? std::nullopt : std::optional{std::prev(after)->sentAt};
}

std::optional<Instant> AgeTracker::reachedAt(std::string_view group,
                                             const LogPosition &position) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return std::nullopt;
    }
    const auto &samples = found->second.samples;
    const auto first =
        std::lower_bound(samples.begin(), samples.end(), position,
                         [](const Sample &s, const LogPosition &p) { return s.position < p; });
    return first == samples.end() ? std::nullopt : std::optional{first->sentAt};
}

std::optional<Duration> AgeTracker::age(std::string_view group, const LogPosition &position,
                                        Instant now) const
{
    const auto until = completeUntil(group, position);
    return until ? std::optional{now - *until} : std::nullopt;
}

void AgeTracker::requestSamples(std::string_view group, Duration allowance, Instant now)
{
    auto found = groups_.find(group);
    if (found == groups_.end()) {
        found = groups_.emplace(std::string{group}, Group{}).first;
    }
    auto &state = found->second;
    const auto interval = std::clamp(allowance / 4, pollIntervalMin, pollIntervalMax);
    const bool idle = now > state.wantedUntil || state.pollInterval == Duration::zero();
    state.pollInterval = idle ? interval : std::min(state.pollInterval, interval);
    state.wantedUntil = now + pollingLifetime;
    if (idle) {
        state.nextPollAt = now;
    }
}

std::vector<std::string> AgeTracker::takePolls(Instant now)
{
    std::vector<std::string> due;
    for (auto &[group, state] : groups_) {
        if (state.pollInterval == Duration::zero() || now < state.nextPollAt) {
            continue;
        }
        if (now > state.wantedUntil) {
            state.pollInterval = Duration::zero();
            continue;
        }
        const auto fresh =
            state.samples.empty() ? now : state.samples.back().sentAt + state.pollInterval;
        if (fresh > now && !state.samples.empty()) {
            state.nextPollAt = fresh;
            continue;
        }
        state.nextPollAt = now + state.pollInterval;
        due.push_back(group);
    }
    return due;
}

std::optional<Instant> AgeTracker::nextDeadline() const
{
    std::optional<Instant> next;
    for (const auto &[group, state] : groups_) {
        if (state.pollInterval != Duration::zero()) {
            next = earlier(next, state.nextPollAt);
        }
    }
    return next;
}

std::size_t AgeTracker::sampleCount(std::string_view group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? 0 : found->second.samples.size();
}

} // namespace hyssoprock
