#include <hyssoprock/failover/voter_placement.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace hyssoprock {

namespace {

/// Number of log entries by which a spare may lag and still count as caught up. An approximation is
/// enough, because a change of voters is settled only once a majority of the new voters holds
/// everything.
constexpr std::uint64_t catchUpEntries = 100;

/// Difference in voters between two data centres from which moving one voter improves the balance.
constexpr std::size_t rebalanceThresholdVoters = 2;

using VoterCounts = std::map<std::string, std::size_t, std::less<>>;

VoterCounts countVotersByDataCentre(const GroupView &view, const FailoverContext &context,
                                    Instant now)
{
    VoterCounts voterCounts;
    for (const auto &member : view.members) {
        if (member.voter && !isOutOfService(member, context, now)) {
            ++voterCounts[member.announcement.dataCentre];
        }
    }
    return voterCounts;
}

std::size_t votersInSameDataCentre(const Member &member, const VoterCounts &voterCounts)
{
    const auto found = voterCounts.find(member.announcement.dataCentre);
    return found == voterCounts.end() ? 0 : found->second;
}

bool isCaughtUp(const Member &member, const GroupView &view, const FailoverContext &context)
{
    const auto *probe = context.probes.find(member.announcement.endpoint);
    const auto *primary = context.probes.find(view.primary);
    return probe != nullptr && probe->reachable && probe->status && primary != nullptr
           && primary->status && probe->status->term == view.term
           && probe->status->primary == view.primary && probe->status->position.term == view.term
           && probe->status->position.index + catchUpEntries >= primary->status->position.index;
}

bool isResponding(const Member &member, const FailoverContext &context)
{
    const auto *probe = context.probes.find(member.announcement.endpoint);
    return member.state != EndpointState::Stopped && probe != nullptr && probe->reachable;
}

bool isHealthy(const Member &voter, const GroupView &view, const FailoverContext &context)
{
    return voter.state == EndpointState::Active && isResponding(voter, context)
           && (voter.announcement.endpoint == view.primary || isCaughtUp(voter, view, context));
}

/// Whether a majority of the remaining voters responds after the removal of one voter.
bool majorityRespondsWithout(const Member &leaving, const GroupView &view,
                             const FailoverContext &context)
{
    const auto answering = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.voter && &member != &leaving && isResponding(member, context);
        }));
    return answering > (voterCount(view) - 1) / 2;
}

} // namespace

bool isOutOfService(const Member &member, const FailoverContext &context, Instant now)
{
    if (member.state == EndpointState::Stopped) {
        return true;
    }
    const auto &name = member.announcement.endpoint;
    const auto *probe = context.probes.find(name);
    if (probe == nullptr || probe->reachable) {
        return false;
    }
    const auto reported = context.evidence.lastResponseAt(name).value_or(probe->respondedAt);
    const auto last = std::max(reported, probe->respondedAt);
    return last + context.settings.lease.replaceVoter <= now;
}

const Member *chooseVoterToAdd(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto voterCounts = countVotersByDataCentre(view, context, now);
    const Member *best = nullptr;
    for (const auto &member : view.members) {
        const bool usable = !member.voter && member.state == EndpointState::Active
                            && isCaughtUp(member, view, context);
        if (usable
            && (best == nullptr
                || votersInSameDataCentre(member, voterCounts)
                       < votersInSameDataCentre(*best, voterCounts))) {
            best = &member;
        }
    }
    return best;
}

const Member *chooseVoterToRemove(const GroupView &view, const FailoverContext &context,
                                  Instant now)
{
    using Rank = std::tuple<bool, bool, std::size_t>;
    const auto voterCounts = countVotersByDataCentre(view, context, now);
    const Member *leaving = nullptr;
    Rank leavingRank;
    for (const auto &member : view.members) {
        if (!member.voter || member.announcement.endpoint == view.primary
            || (isResponding(member, context) && !majorityRespondsWithout(member, view, context))) {
            continue;
        }
        const Rank rank{isOutOfService(member, context, now), member.state != EndpointState::Active,
                        votersInSameDataCentre(member, voterCounts)};
        if (leaving == nullptr || rank >= leavingRank) {
            leaving = &member;
            leavingRank = rank;
        }
    }
    return leaving;
}

const Member *chooseRebalancingSpare(const GroupView &view, const FailoverContext &context,
                                     Instant now)
{
    const bool healthy =
        std::all_of(view.members.begin(), view.members.end(), [&](const Member &member) {
            return !member.voter || isHealthy(member, view, context);
        });
    const auto *spare = healthy ? chooseVoterToAdd(view, context, now) : nullptr;
    if (spare == nullptr) {
        return nullptr;
    }
    const auto voterCounts = countVotersByDataCentre(view, context, now);
    std::size_t largestCount = 0;
    for (const auto &[dataCentre, voters] : voterCounts) {
        largestCount = std::max(largestCount, voters);
    }
    return votersInSameDataCentre(*spare, voterCounts) + rebalanceThresholdVoters <= largestCount
               ? spare
               : nullptr;
}

std::string describeVoterDistribution(const GroupView &view, const FailoverContext &context,
                                      Instant now)
{
    std::string text;
    for (const auto &[dataCentre, voters] : countVotersByDataCentre(view, context, now)) {
        text += (text.empty() ? "" : ", ") + dataCentre + " " + std::to_string(voters);
    }
    return "voters in service: " + (text.empty() ? "none" : text);
}

} // namespace hyssoprock
