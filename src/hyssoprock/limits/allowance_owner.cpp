#include <hyssoprock/limits/allowance_owner.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

// With this unit a rate in operations per second is a rate in units per microsecond.
constexpr std::uint64_t unitsPerOperation = 1'000'000;
// Keeps products of a time in microseconds and a rate below 2^64.
constexpr Duration fillTimeMax = std::chrono::hours{1};
// The owner is called every 100 ms. After a longer pause the process was stopped, and received
// messages may have waited in the kernel.
constexpr Duration interruptionMin = std::chrono::seconds{1};
// Time after an interruption in which the messages received before its end are processed.
constexpr Duration backlogTime = std::chrono::seconds{1};
// For a request that arrives while nothing is granted.
constexpr Duration unavailableRetry = std::chrono::milliseconds{500};

// The rest of the tolerance covers the first operation of each voter that begins to grant, so that
// teams with a low rate need not wait for it after a loss of power.
constexpr std::uint64_t burstTolerancePercent = 70;
constexpr std::uint64_t wholePercent = 100;

std::uint64_t toUnits(Duration time)
{
    return static_cast<std::uint64_t>(time.count());
}

} // namespace

void AllowanceOwner::setDocument(std::shared_ptr<const DeploymentDocument> document)
{
    document_ = std::move(document);
    std::map<std::string, Bucket> former;
    former.swap(buckets_);
    for (const auto &team : document_->teams) {
        if (team.operationsPerSecond == 0) {
            continue;
        }
        auto &bucket = buckets_[team.name];
        bucket.units = initialUnits();
        bucket.filledAt = lastCallAt_.value_or(Instant{});
        if (const auto known = former.find(team.name); known != former.end()) {
            bucket = known->second;
        }
        bucket.rate = team.operationsPerSecond;
        bucket.burst = team.burst;
    }
}

void AllowanceOwner::update(const VoterView &view, Instant now)
{
    const auto first = !std::exchange(updated_, true);
    detectInterruption(now);
    if (!view.voter || view.voters == 0) {
        grantsFrom_.reset();
    } else if (!grantsFrom_) {
        grantsFrom_ = first ? now : now + settlingTime;
    }
    if (view.leaderContactAt) {
        leaderContactAt_ = std::max(leaderContactAt_.value_or(Instant{}), *view.leaderContactAt);
    }
    updateShare(view.voters, now);
    const auto former = std::exchange(granting_, isGranting(now));
    if (granting_ && !former) {
        resetBuckets(now);
    }
}

void AllowanceOwner::detectInterruption(Instant now)
{
    if (lastCallAt_ && now - *lastCallAt_ > interruptionMin) {
        contactsFrom_ = now + backlogTime;
    }
    lastCallAt_ = now;
}

void AllowanceOwner::updateShare(std::uint32_t voters, Instant now)
{
    if (voters < shares_ && !fewerVotersSince_) {
        fewerVotersSince_ = now;
    }
    if (voters >= shares_ || now - *fewerVotersSince_ >= settlingTime) {
        shares_ = voters;
        fewerVotersSince_.reset();
    }
}

bool AllowanceOwner::isGranting(Instant now) const
{
    return document_ && shares_ > 0 && grantsFrom_ && now >= *grantsFrom_ && leaderContactAt_
           && now - *leaderContactAt_ <= leaderContactLimit
           && (!contactsFrom_ || *leaderContactAt_ >= *contactsFrom_);
}

bool AllowanceOwner::isOffering(Instant now) const
{
    return granting_ && isGranting(now) && !buckets_.empty();
}

std::uint64_t AllowanceOwner::initialUnits() const noexcept
{
    const auto reserved = tolerance_ * (wholePercent - burstTolerancePercent) / wholePercent;
    return shares_ > 0 && reserved >= shares_ ? unitsPerOperation : 0;
}

void AllowanceOwner::resetBuckets(Instant now)
{
    for (auto &[team, bucket] : buckets_) {
        bucket.units = initialUnits();
        bucket.remainder = 0;
        bucket.filledAt = now;
    }
}

void AllowanceOwner::fill(Bucket &bucket, Instant now) const
{
    const auto time = std::clamp(now - bucket.filledAt, Duration::zero(), fillTimeMax);
    const auto gained = toUnits(time) * bucket.rate + bucket.remainder;
    bucket.remainder = gained % shares_;
    const auto burst = bucket.burst * wholePercent + tolerance_ * burstTolerancePercent;
    const auto capacity =
        std::max(burst * unitsPerOperation / wholePercent / shares_, unitsPerOperation);
    bucket.units = std::min(bucket.units + gained / shares_, capacity);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

AllowanceReply AllowanceOwner::handle(const AllowanceRequest &request, Instant now)
{
    detectInterruption(now);
    AllowanceReply reply;
    reply.sequence = request.sequence;
    if (!granting_ || !isGranting(now)) {
        reply.retryAfterUs = toUnits(unavailableRetry);
        return reply;
    }
    const auto found = buckets_.find(request.team);
    if (found == buckets_.end()) {
        reply.granted = request.count;
        return reply;
    }
    auto &bucket = found->second;
    fill(bucket, now);
    reply.granted = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(request.count, bucket.units / unitsPerOperation));
    bucket.units -= reply.granted * unitsPerOperation;
    if (reply.granted < request.count) {
        const auto missing = (unitsPerOperation - bucket.units) * shares_;
        reply.retryAfterUs = (missing + bucket.rate - 1) / bucket.rate;
    }
    return reply;
}

} // namespace hyssoprock
