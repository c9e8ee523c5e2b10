#include <hyssoprock/balancing/outlier_detector.hpp>

#include <algorithm>
#include <bit>

#include <hyssoprock/limits/exponential_step.hpp>

namespace hyssoprock {

namespace {

// A host sends an endpoint about one read per second, so more outcomes would be too old. An
// endpoint that fails 45% of its reads reaches 3 failures after about 7 reads; one whose reads fail
// by their own text 2% of the time has 3 failures of 8 in one case of 2,500.
constexpr std::uint32_t recentOutcomes = 0xff;
constexpr int failuresToAvoid = 3;
// Statements that fail by their own text fail everywhere, so another endpoint must be clearly
// better.
constexpr int failuresMargin = 2;
// Outcomes before a longer pause say nothing of the present state.
constexpr Duration outcomeLifetime = std::chrono::seconds{10};
constexpr Duration failureLifetime = std::chrono::seconds{5};
// A hang costs a caller 150 ms and more, a failed read only a repetition, so two hangs suffice.
constexpr int hangWeight = 2;
constexpr Duration firstTrialDelay = std::chrono::milliseconds{500};
// The longest interval between trials is 16 s.
constexpr std::uint32_t doublingsMax = 5;
// One more is needed for each repetition: an endpoint that fails 45% of its reads passes 3 trials
// in one case of 6, and 7 in one of 60.
constexpr std::uint32_t trialsToReturn = 2;
// The answer to a trial may be lost with its caller.
constexpr Duration trialTimeout = std::chrono::seconds{3};
// Within this time after its return one failure suffices to avoid the endpoint again. It exceeds
// the longest interval, and several periods of an endpoint that goes down and up every 1.4 s.
constexpr Duration probation = std::chrono::seconds{20};

bool isFailure(EndpointOutcome outcome)
{
    return outcome != EndpointOutcome::Served && outcome != EndpointOutcome::Refused;
}

int failuresOf(std::uint32_t outcomes)
{
    return std::popcount(outcomes & recentOutcomes);
}

} // namespace

std::string_view toString(OutlierChange change) noexcept
{
    switch (change) {
    case OutlierChange::None:
        return "no change";
    case OutlierChange::Avoided:
        return "reads avoid it, because several failed";
    case OutlierChange::TrialFailed:
        return "the trial failed, reads still avoid it";
    case OutlierChange::Returned:
        return "reads use it again";
    case OutlierChange::AllFailing:
        return "all endpoints fail, reads avoid none";
    }
    return "unknown";
}

void OutlierDetector::setMembers(const std::vector<std::string> &endpoints)
{
    std::erase_if(records_, [&](const auto &entry) {
        return std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end();
    });
    for (const auto &endpoint : endpoints) {
        records_.try_emplace(endpoint);
    }
}

OutlierChange OutlierDetector::record(const std::string &endpoint, EndpointOutcome outcome,
                                      Instant now)
{
    const auto found = records_.find(endpoint);
    if (found == records_.end()) {
        return OutlierChange::None;
    }
    auto &record = found->second;
    if (record.avoided) {
        return recordWhileAvoided(record, outcome, now);
    }
    if (record.outcomeAt + outcomeLifetime < now) {
        record.failures = 0;
    }
    record.outcomeAt = now;
    const auto weight = outcome == EndpointOutcome::Hung ? hangWeight : 1;
    for (auto i = 0; i < weight; ++i) {
        record.failures = record.failures << 1U | static_cast<std::uint32_t>(isFailure(outcome));
    }
    if (!isFailure(outcome)) {
        return OutlierChange::None;
    }
    record.failedAt = now;
    const auto relapse = record.repetitions > 0 && now < record.returnedAt + probation;
    if (!relapse) {
        record.repetitions = 0;
    }
    if (allFailing(now)) {
        const auto changed = avoidedCount() > 0;
        for (auto &[name, known] : records_) {
            known = Record{};
        }
        return changed ? OutlierChange::AllFailing : OutlierChange::None;
    }
    if (!relapse && failuresOf(record.failures) < failuresToAvoid) {
        return OutlierChange::None;
    }
    if (!canAvoid(record, relapse ? 1 : failuresMargin)) {
        return OutlierChange::None;
    }
    avoid(record, now);
    return OutlierChange::Avoided;
}

OutlierChange OutlierDetector::recordWhileAvoided(Record &record, EndpointOutcome outcome,
                                                  Instant now)
{
    // Outcomes of statements that were sent before the endpoint was avoided change nothing. Without
    // a trial in progress a failure is that of the connection that was opened for it.
    if (now < record.trialAt || (!record.triedAt && !isFailure(outcome))) {
        return OutlierChange::None;
    }
    record.triedAt.reset();
    if (isFailure(outcome)) {
        avoid(record, now);
        return OutlierChange::TrialFailed;
    }
    if (outcome == EndpointOutcome::Refused
        || ++record.servedTrials < trialsToReturn + record.repetitions) {
        return OutlierChange::None;
    }
    record.avoided = false;
    record.failures = 0;
    record.returnedAt = now;
    return OutlierChange::Returned;
}

bool OutlierDetector::beginTrial(const std::string &endpoint, Instant now)
{
    if (use(endpoint, now) != EndpointUse::Trial) {
        return false;
    }
    records_.find(endpoint)->second.triedAt = now;
    return true;
}

EndpointUse OutlierDetector::use(const std::string &endpoint, Instant now) const
{
    const auto found = records_.find(endpoint);
    if (found == records_.end() || !found->second.avoided) {
        return EndpointUse::Normal;
    }
    const auto &record = found->second;
    const auto inProgress = record.triedAt && now < *record.triedAt + trialTimeout;
    return now < record.trialAt || inProgress ? EndpointUse::Avoided : EndpointUse::Trial;
}

std::vector<std::string> OutlierDetector::avoidedEndpoints() const
{
    std::vector<std::string> result;
    for (const auto &[endpoint, record] : records_) {
        if (record.avoided) {
            result.push_back(endpoint);
        }
    }
    return result;
}

std::size_t OutlierDetector::avoidedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [](const auto &entry) { return entry.second.avoided; }));
}

bool OutlierDetector::canAvoid(const Record &record, int margin) const
{
    const auto own = failuresOf(record.failures);
    const auto better = std::any_of(records_.begin(), records_.end(), [&](const auto &entry) {
        return !entry.second.avoided && failuresOf(entry.second.failures) + margin <= own;
    });
    return better && (avoidedCount() + 1) * 2 <= records_.size();
}

bool OutlierDetector::allFailing(Instant now) const
{
    return std::all_of(records_.begin(), records_.end(), [&](const auto &entry) {
        const auto &record = entry.second;
        return record.avoided
               || (failuresOf(record.failures) >= failuresToAvoid
                   && record.failedAt + failureLifetime > now);
    });
}

void OutlierDetector::avoid(Record &record, Instant now)
{
    record.trialAt = now + exponentialBackoff(firstTrialDelay, record.repetitions, doublingsMax);
    record.repetitions = std::min(record.repetitions + 1, doublingsMax);
    record.avoided = true;
    record.servedTrials = 0;
    record.triedAt.reset();
}

} // namespace hyssoprock
