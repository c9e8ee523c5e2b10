#include <hyssoprock/limits/admission_queue.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// The newest service time has a weight of 1/8 in the moving average, which then follows a change
// within about 20 requests.
constexpr std::int64_t averageDivisor = 8;

} // namespace

OfferResult AdmissionQueue::offer(const WaitingRequest &request, Instant now)
{
    if (request.deadline <= now || now + estimatedWait(request.caller) > request.deadline) {
        return {ErrorKind::DeadlineExceeded, std::nullopt};
    }
    OfferResult result;
    if (size_ >= capacity_) {
        const auto victim = longestQueue();
        const auto own = callers_.find(request.caller);
        const auto ownLength = own == callers_.end() ? 0U : own->second.size();
        if (ownLength + 1 >= victim->second.size()) {
            return {ErrorKind::QueueFull, std::nullopt};
        }
        result.displaced = victim->second.back().id;
        victim->second.pop_back();
        --size_;
        eraseIfEmpty(victim);
    }
    callers_[request.caller].push_back(request);
    ++size_;
    return result;
}

std::optional<std::uint64_t> AdmissionQueue::take(Instant now)
{
    auto caller = callers_.upper_bound(lastServed_);
    for (std::size_t turn = 0; turn < callers_.size(); ++turn, ++caller) {
        if (caller == callers_.end()) {
            caller = callers_.begin();
        }
        auto &queue = caller->second;
        const auto next = std::ranges::find_if(
            queue, [now](const WaitingRequest &request) { return request.deadline > now; });
        if (next == queue.end()) {
            continue;
        }
        const auto id = next->id;
        lastServed_ = caller->first;
        queue.erase(next);
        --size_;
        eraseIfEmpty(caller);
        return id;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> AdmissionQueue::expire(Instant now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[caller, queue] : callers_) {
        std::erase_if(queue, [&](const WaitingRequest &request) {
            if (request.deadline > now) {
                return false;
            }
            expired.push_back(request.id);
            return true;
        });
    }
    std::erase_if(callers_, [](const auto &entry) { return entry.second.empty(); });
    size_ -= expired.size();
    return expired;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    for (auto caller = callers_.begin(); caller != callers_.end(); ++caller) {
        if (std::erase_if(caller->second, [id](const auto &request) { return request.id == id; })
            > 0) {
            --size_;
            eraseIfEmpty(caller);
            return true;
        }
    }
    return false;
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    std::vector<std::uint64_t> ids;
    for (const auto &[caller, queue] : callers_) {
        std::ranges::transform(queue, std::back_inserter(ids), &WaitingRequest::id);
    }
    callers_.clear();
    size_ = 0;
    return ids;
}

void AdmissionQueue::recordServiceTime(Duration duration) noexcept
{
    meanServiceTime_ = meanServiceTime_ == Duration::zero()
                           ? duration
                           : meanServiceTime_ + (duration - meanServiceTime_) / averageDivisor;
}

Duration AdmissionQueue::estimatedWait(const std::string &caller) const
{
    if (serverCount_ == 0) {
        return Duration::zero();
    }
    // Round robin: before this request, each caller is served at most as often as this one.
    const auto own = callers_.find(caller);
    const auto turns = (own == callers_.end() ? 0U : own->second.size()) + 1;
    std::size_t ahead = turns - 1;
    for (const auto &[name, queue] : callers_) {
        ahead += name == caller ? 0U : std::min(queue.size(), turns);
    }
    return meanServiceTime_ * static_cast<std::int64_t>(ahead / serverCount_);
}

std::optional<Instant> AdmissionQueue::nextDeadline() const
{
    std::optional<Instant> earliest;
    for (const auto &[caller, queue] : callers_) {
        for (const auto &request : queue) {
            earliest = earliest ? std::min(*earliest, request.deadline) : request.deadline;
        }
    }
    return earliest;
}

AdmissionQueue::Callers::iterator AdmissionQueue::longestQueue()
{
    return std::ranges::max_element(callers_, {},
                                    [](const auto &entry) { return entry.second.size(); });
}

void AdmissionQueue::eraseIfEmpty(Callers::iterator caller)
{
    if (caller->second.empty()) {
        callers_.erase(caller);
    }
}

} // namespace hyssoprock
