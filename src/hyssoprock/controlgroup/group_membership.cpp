#include <hyssoprock/controlgroup/group_membership.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time without a confirmation after which a voter counts as silent; about 15 heartbeats.
constexpr Duration voterSilenceTimeout = milliseconds{1500};
// Twice the interval at which a spare host repeats its request.
constexpr Duration candidateLifetime = seconds{2};
// A stopped host that has not been replaced within this time has probably been restarted.
constexpr Duration leaveLifetime = seconds{5};
constexpr Duration joinRequestInterval = milliseconds{500};
constexpr Duration spareJoinRequestInterval = seconds{1};
// A host that has not been admitted within this time is a spare.
constexpr Duration spareDelay = seconds{10};
// Replaced hosts never return, so connecting to them for longer is useless.
constexpr Duration knownHostLifetime = seconds{60};
constexpr std::size_t votersMax = 7;
// With fewer, the group does not survive the loss of any host.
constexpr std::size_t failuresToleratedMin = 1;

} // namespace

std::vector<std::string> initialVoters(const GroupMembershipSettings &settings)
{
    if (!settings.bootstrap) {
        return {};
    }
    auto voters = settings.seeds;
    std::sort(voters.begin(), voters.end());
    voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
    return voters;
}

GroupMembership::GroupMembership(GroupMembershipSettings settings)
    : settings_{std::move(settings)}
{}

void GroupMembership::setSeeds(std::vector<std::string> seeds)
{
    settings_.seeds = std::move(seeds);
}

void GroupMembership::recordHost(const std::string &host, Instant now)
{
    if (!host.empty() && host != settings_.self) {
        lastReceivedAt_[host] = now;
    }
}

std::optional<std::string> GroupMembership::handle(const JoinRequest &request,
                                                   const std::string &from,
                                                   const std::string &leader, Instant now)
{
    if (request.host.empty() || request.host == settings_.self) {
        return std::nullopt;
    }
    recordHost(request.host, now);
    candidates_[request.host] = now;
    // A host that requests to join has been restarted.
    leaving_.erase(request.host);
    // Only the first receiver forwards the request, so that two hosts that consider each other the
    // leader do not forward it in a loop.
    if (from == request.host && !leader.empty() && leader != settings_.self
        && leader != request.host) {
        return leader;
    }
    return std::nullopt;
}

void GroupMembership::handle(const LeaveRequest &request, Instant now)
{
    candidates_.erase(request.host);
    leaving_[request.host] = now;
}

MembershipActions GroupMembership::tick(const ControlGroupStatus &status, Instant now)
{
    MembershipActions actions;
    voters_.clear();
    for (const auto &voter : status.voters) {
        voters_.insert(voter.host);
    }
    expireRecords(now);
    recordLeadership(status, now);
    actions.joinRequestTargets = dueJoinRequestTargets(status, now);
    if (!status.leading) {
        return actions;
    }
    if (changeInProgress_) {
        actions.cancelJoin = joiningHost_ && !candidates_.contains(*joiningHost_);
        return actions;
    }
    chooseChange(status, now, actions);
    changeInProgress_ = actions.voterToAdd || actions.voterToRemove;
    joiningHost_ = actions.voterToAdd;
    return actions;
}

void GroupMembership::handleChangeResult(bool success)
{
    // A host that could not be added is tried again only after its next request.
    if (!success && joiningHost_) {
        candidates_.erase(*joiningHost_);
    }
    changeInProgress_ = false;
    joiningHost_.reset();
}

void GroupMembership::expireRecords(Instant now)
{
    const auto drop = [now](auto &times, Duration lifetime) {
        std::erase_if(times, [&](const auto &item) { return now - item.second > lifetime; });
    };
    drop(candidates_, candidateLifetime);
    drop(leaving_, leaveLifetime);
    drop(lastReceivedAt_, knownHostLifetime);
}

void GroupMembership::recordLeadership(const ControlGroupStatus &status, Instant now)
{
    if (!status.leading) {
        leadingSince_.reset();
    } else if (!leadingSince_ || leadingTerm_ != status.term) {
        leadingSince_ = now;
        leadingTerm_ = status.term;
    }
}

std::vector<std::string> GroupMembership::dueJoinRequestTargets(const ControlGroupStatus &status,
                                                                Instant now)
{
    // A host that was removed while it was disconnected still is a voter in its own log. It sends
    // requests, too, since no leader contacts it.
    const auto hasLeader =
        status.leading
        || (status.leaderSeenAt && now - *status.leaderSeenAt <= voterSilenceTimeout);
    if (voters_.contains(settings_.self) && hasLeader) {
        requestingSince_.reset();
        lastJoinRequestAt_.reset();
        return {};
    }
    if (!requestingSince_) {
        requestingSince_ = now;
    }
    const auto interval =
        now - *requestingSince_ < spareDelay ? joinRequestInterval : spareJoinRequestInterval;
    if (lastJoinRequestAt_ && now - *lastJoinRequestAt_ < interval) {
        return {};
    }
    lastJoinRequestAt_ = now;
    return knownHosts();
}

void GroupMembership::chooseChange(const ControlGroupStatus &status, Instant now,
                                   MembershipActions &actions)
{
    std::vector<std::string> gone;
    std::size_t reachable = 0;
    for (const auto &voter : status.voters) {
        const auto confirmedAt =
            std::max(voter.confirmedAt.value_or(*leadingSince_), *leadingSince_);
        const auto self = voter.host == settings_.self;
        if (!self && (now - confirmedAt > voterSilenceTimeout || leaving_.contains(voter.host))) {
            gone.push_back(voter.host);
        } else if (self || (!voter.recovering && voter.confirmedAt)) {
            ++reachable;
        }
    }
    const auto count = status.voters.size();
    const auto target = targetVoterCount();
    if (count > target && !gone.empty()) {
        if (reachable >= (count - 1) / 2 + 1) {
            actions.voterToRemove = gone.front();
        }
    } else if (count < target || (count == target && !gone.empty())) {
        actions.voterToAdd = findCandidate();
    }
}

std::optional<std::string> GroupMembership::findCandidate() const
{
    for (const auto &[host, time] : candidates_) {
        if (!voters_.contains(host)) {
            return host;
        }
    }
    return std::nullopt;
}

std::vector<std::string> GroupMembership::knownHosts() const
{
    std::set<std::string> hosts{settings_.seeds.begin(), settings_.seeds.end()};
    hosts.insert(voters_.begin(), voters_.end());
    for (const auto &[host, time] : lastReceivedAt_) {
        hosts.insert(host);
    }
    hosts.erase(settings_.self);
    return {hosts.begin(), hosts.end()};
}

std::vector<std::string> GroupMembership::activeHosts() const
{
    auto hosts = voters_;
    for (const auto &[host, time] : lastReceivedAt_) {
        hosts.insert(host);
    }
    hosts.insert(settings_.self);
    return {hosts.begin(), hosts.end()};
}

std::size_t GroupMembership::targetVoterCount() const noexcept
{
    const auto failures = std::max(std::size_t{settings_.failuresTolerated}, failuresToleratedMin);
    return std::min(2 * failures + 1, votersMax);
}

} // namespace hyssoprock
