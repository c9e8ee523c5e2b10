#include <hyssoprock/limits/ejection_tracker.hpp>

#include <hyssoprock/limits/exponential_step.hpp>

namespace hyssoprock {

namespace {

constexpr std::uint32_t doublingsMax = 4; // An ejection lasts at most 16 times the first one.
constexpr std::uint64_t successesToClear = 10;

} // namespace

bool EjectionTracker::recordFailure(const std::string &endpoint, Instant now)
{
    auto &record = records_[endpoint];
    record.consecutiveSuccesses = 0;
    ++record.consecutiveFailures;
    const auto needed = record.ejections == 0 ? failuresToEject_ : 1;
    if (now < record.ejectedUntil || record.consecutiveFailures < needed) {
        return false;
    }
    record.ejectedUntil =
        now + exponentialBackoff(firstEjectionInterval_, record.ejections, doublingsMax);
    record.consecutiveFailures = 0;
    ++record.ejections;
    return true;
}

void EjectionTracker::recordSuccess(const std::string &endpoint)
{
    const auto found = records_.find(endpoint);
    if (found == records_.end()) {
        return;
    }
    auto &record = found->second;
    record.consecutiveFailures = 0;
    if (++record.consecutiveSuccesses >= successesToClear) {
        records_.erase(found);
    }
}

bool EjectionTracker::ejected(const std::string &endpoint, Instant now) const
{
    const auto found = records_.find(endpoint);
    return found != records_.end() && now < found->second.ejectedUntil;
}

} // namespace hyssoprock
