#include <hyssoprock/failover/voter_placement.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace hyssoprock {

namespace {

/// A spare counts as caught up within this many entries. It need not be exact: the change of voters
/// is settled only once a majority of the new voters holds everything.
constexpr std::uint64_t catchUpEntries = 100;

/// Difference in voters between two data centres from which moving one makes them more even.
constexpr std::size_t unevenBy = 2;

using Spread = std::map<std::string, std::size_t, std::less<>>;

Spread spreadOf(const GroupView &view, const FailoverContext &context, Instant now)
{
    Spread spread;
    for (const auto &member : view.members) {
        if (member.voter && !isLost(member, context, now)) {
            ++spread[member.announcement.dataCentre];
        }
    }
    return spread;
}

std::size_t votersNear(const Member &member, const Spread &spread)
{
    const auto found = spread.find(member.announcement.dataCentre);
    return found == spread.end() ? 0 : found->second;
}

bool isCaughtUp(const Member &member, const GroupView &view, const FailoverContext &context)
{
    const auto *probe = context.endpoints.find(member.announcement.endpoint);
    const auto *primary = context.endpoints.find(view.primary);
    return probe != nullptr && probe->reachable && probe->report && primary != nullptr
           && primary->report && probe->report->term == view.term
           && probe->report->primary == view.primary && probe->report->position.term == view.term
           && probe->report->position.index + catchUpEntries >= primary->report->position.index;
}

bool answers(const Member &member, const FailoverContext &context)
{
    const auto *probe = context.endpoints.find(member.announcement.endpoint);
    return member.state != EndpointState::Stopped && probe != nullptr && probe->reachable;
}

bool isHealthy(const Member &voter, const GroupView &view, const FailoverContext &context)
{
    return voter.state == EndpointState::Active && answers(voter, context)
           && (voter.announcement.endpoint == view.primary || isCaughtUp(voter, view, context));
}

/// Whether the voters keep a majority that answers once one of them has gone.
bool majorityAnswersWithout(const Member &leaving, const GroupView &view,
                            const FailoverContext &context)
{
    const auto answering = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.voter && &member != &leaving && answers(member, context);
        }));
    return answering > (voterCount(view) - 1) / 2;
}

} // namespace

bool isLost(const Member &member, const FailoverContext &context, Instant now)
{
    if (member.state == EndpointState::Stopped) {
        return true;
    }
    const auto &name = member.announcement.endpoint;
    const auto *probe = context.endpoints.find(name);
    if (probe == nullptr || probe->reachable) {
        return false;
    }
    const auto reported = context.evidence.lastAnswer(name).value_or(probe->answeredAt);
    const auto last = std::max(reported, probe->answeredAt);
    return last + context.settings.lease.replaceVoter <= now;
}

const Member *chooseSpare(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto spread = spreadOf(view, context, now);
    const Member *best = nullptr;
    for (const auto &member : view.members) {
        const bool usable = !member.voter && member.state == EndpointState::Active
                            && isCaughtUp(member, view, context);
        if (usable && (best == nullptr || votersNear(member, spread) < votersNear(*best, spread))) {
            best = &member;
        }
    }
    return best;
}

const Member *chooseSurplus(const GroupView &view, const FailoverContext &context, Instant now)
{
    using Rank = std::tuple<bool, bool, std::size_t>;
    const auto spread = spreadOf(view, context, now);
    const Member *surplus = nullptr;
    Rank surplusRank;
    for (const auto &member : view.members) {
        if (!member.voter || member.announcement.endpoint == view.primary
            || (answers(member, context) && !majorityAnswersWithout(member, view, context))) {
            continue;
        }
        const Rank rank{isLost(member, context, now), member.state != EndpointState::Active,
                        votersNear(member, spread)};
        if (surplus == nullptr || rank >= surplusRank) {
            surplus = &member;
            surplusRank = rank;
        }
    }
    return surplus;
}

const Member *chooseBetterSpare(const GroupView &view, const FailoverContext &context, Instant now)
{
    const bool healthy =
        std::all_of(view.members.begin(), view.members.end(), [&](const Member &member) {
            return !member.voter || isHealthy(member, view, context);
        });
    const auto *spare = healthy ? chooseSpare(view, context, now) : nullptr;
    if (spare == nullptr) {
        return nullptr;
    }
    const auto spread = spreadOf(view, context, now);
    std::size_t most = 0;
    for (const auto &[dataCentre, voters] : spread) {
        most = std::max(most, voters);
    }
    return votersNear(*spare, spread) + unevenBy <= most ? spare : nullptr;
}

std::string describeSpread(const GroupView &view, const FailoverContext &context, Instant now)
{
    std::string text;
    for (const auto &[dataCentre, voters] : spreadOf(view, context, now)) {
        text += (text.empty() ? "" : ", ") + dataCentre + " " + std::to_string(voters);
    }
    return "voters in service: " + (text.empty() ? "none" : text);
}

} // namespace hyssoprock
