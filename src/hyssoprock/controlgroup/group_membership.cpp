#include <hyssoprock/controlgroup/group_membership.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A voter misses about 15 heartbeats before it counts as silent.
constexpr Duration silenceLimit = milliseconds{1500};
// Twice the interval at which a spare host repeats its request.
constexpr Duration candidateLifetime = seconds{2};
// A stopped host that has not been replaced by then has probably been restarted.
constexpr Duration leaveLifetime = seconds{5};
constexpr Duration askInterval = milliseconds{500};
constexpr Duration spareAskInterval = seconds{1};
// A host that was not taken in by then is a spare.
constexpr Duration eagerTime = seconds{10};
// Hosts that were replaced never come back; connecting to them for longer is useless.
constexpr Duration heardLifetime = seconds{60};
constexpr std::size_t votersMost = 7;
// With fewer, the loss of any host ends the group.
constexpr std::size_t failuresLeast = 1;

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
        heard_[host] = now;
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
    // A host that asks to join has been started again.
    leaving_.erase(request.host);
    // Only the first receiver forwards, so that two hosts that take each other for the leader do
    // not pass a request to and fro.
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

MembershipActions GroupMembership::tick(const ControlGroupStatus &view, Instant now)
{
    MembershipActions actions;
    voters_.clear();
    for (const auto &voter : view.voters) {
        voters_.insert(voter.host);
    }
    forget(now);
    noteLeadership(view, now);
    actions.joinRequestTargets = hostsToAsk(view, now);
    if (!view.leading) {
        return actions;
    }
    if (changing_) {
        actions.cancelJoin = joining_ && !candidates_.contains(*joining_);
        return actions;
    }
    chooseChange(view, now, actions);
    changing_ = actions.voterToAdd || actions.voterToRemove;
    joining_ = actions.voterToAdd;
    return actions;
}

void GroupMembership::handleChangeResult(bool success)
{
    // A host that could not be added is tried again only after its next request.
    if (!success && joining_) {
        candidates_.erase(*joining_);
    }
    changing_ = false;
    joining_.reset();
}

void GroupMembership::forget(Instant now)
{
    const auto drop = [now](auto &times, Duration lifetime) {
        std::erase_if(times, [&](const auto &item) { return now - item.second > lifetime; });
    };
    drop(candidates_, candidateLifetime);
    drop(leaving_, leaveLifetime);
    drop(heard_, heardLifetime);
}

void GroupMembership::noteLeadership(const ControlGroupStatus &view, Instant now)
{
    if (!view.leading) {
        leadingSince_.reset();
    } else if (!leadingSince_ || leadingTerm_ != view.term) {
        leadingSince_ = now;
        leadingTerm_ = view.term;
    }
}

std::vector<std::string> GroupMembership::hostsToAsk(const ControlGroupStatus &view, Instant now)
{
    // A host that was removed while it was cut off still finds itself among the voters of its own
    // log; it asks, too, as no leader contacts it.
    const auto led =
        view.leading || (view.leaderSeenAt && now - *view.leaderSeenAt <= silenceLimit);
    if (voters_.contains(settings_.self) && led) {
        askingSince_.reset();
        askedAt_.reset();
        return {};
    }
    if (!askingSince_) {
        askingSince_ = now;
    }
    const auto interval = now - *askingSince_ < eagerTime ? askInterval : spareAskInterval;
    if (askedAt_ && now - *askedAt_ < interval) {
        return {};
    }
    askedAt_ = now;
    return knownHosts();
}

void GroupMembership::chooseChange(const ControlGroupStatus &view, Instant now,
                                   MembershipActions &actions)
{
    std::vector<std::string> gone;
    std::size_t reachable = 0;
    for (const auto &voter : view.voters) {
        const auto seen = std::max(voter.confirmedAt.value_or(*leadingSince_), *leadingSince_);
        const auto self = voter.host == settings_.self;
        if (!self && (now - seen > silenceLimit || leaving_.contains(voter.host))) {
            gone.push_back(voter.host);
        } else if (self || (!voter.recovering && voter.confirmedAt)) {
            ++reachable;
        }
    }
    const auto count = view.voters.size();
    const auto target = targetVoterCount();
    if (count > target && !gone.empty()) {
        if (reachable >= (count - 1) / 2 + 1) {
            actions.voterToRemove = gone.front();
        }
    } else if (count < target || (count == target && !gone.empty())) {
        actions.voterToAdd = candidate();
    }
}

std::optional<std::string> GroupMembership::candidate() const
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
    for (const auto &[host, time] : heard_) {
        hosts.insert(host);
    }
    hosts.erase(settings_.self);
    return {hosts.begin(), hosts.end()};
}

std::vector<std::string> GroupMembership::activeHosts() const
{
    auto hosts = voters_;
    for (const auto &[host, time] : heard_) {
        hosts.insert(host);
    }
    hosts.insert(settings_.self);
    return {hosts.begin(), hosts.end()};
}

std::size_t GroupMembership::targetVoterCount() const noexcept
{
    const auto failures = std::max(std::size_t{settings_.failuresTolerated}, failuresLeast);
    return std::min(2 * failures + 1, votersMost);
}

} // namespace hyssoprock
