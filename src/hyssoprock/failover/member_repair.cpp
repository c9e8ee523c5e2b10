#include <hyssoprock/failover/member_repair.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

/// A spare counts as caught up within this many entries. It need not be exact: the change of voters
/// is settled only once a majority of the new voters holds everything.
constexpr std::uint64_t catchUpEntries = 100;

bool isCaughtUp(const Member &member, const GroupView &view, const FailoverContext &context)
{
    const auto *probe = context.endpoints.find(member.announcement.endpoint);
    const auto *primary = context.endpoints.find(view.primary);
    return probe != nullptr && probe->reachable && probe->report && primary != nullptr
           && primary->report && probe->report->term == view.term
           && probe->report->primary == view.primary && probe->report->position.term == view.term
           && probe->report->position.index + catchUpEntries >= primary->report->position.index;
}

/// A voter without service: stopped, or silent for everybody for a long time.
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

const Member *findSpare(const GroupView &view, const FailoverContext &context)
{
    const auto found =
        std::find_if(view.members.begin(), view.members.end(), [&](const Member &member) {
            return !member.voter && member.state == EndpointState::Active
                   && isCaughtUp(member, view, context);
        });
    return found == view.members.end() ? nullptr : &*found;
}

/// The voter that is to go: a lost one first, then one with a planned stop, then the last by name.
const Member *findSurplus(const GroupView &view, const FailoverContext &context, Instant now)
{
    const Member *surplus = nullptr;
    int surplusRank = -1;
    for (const auto &member : view.members) {
        if (!member.voter || member.announcement.endpoint == view.primary) {
            continue;
        }
        const int rank = isLost(member, context, now)            ? 2
                         : member.state != EndpointState::Active ? 1
                                                                 : 0;
        if (rank >= surplusRank) {
            surplus = &member;
            surplusRank = rank;
        }
    }
    return surplus;
}

} // namespace

void MemberRepair::promoted(std::uint64_t term, std::uint64_t voterVersion) noexcept
{
    promotedTerm_ = term;
    promotedVersion_ = voterVersion;
}

void MemberRepair::startOver(const GroupRecord &group, const FailoverContext &context, Instant now)
{
    term_ = group.view.term;
    voterVersion_ = group.voterVersion;
    wait_.emplace(context.leases, group.view.version, now);
    primaryHasVoters_ = promotedTerm_ == term_ && promotedVersion_ == voterVersion_;
    callOpen_ = false;
    retryAt_ = now;
    readyAt_.reset();
    heldUpTo_.reset();
    settled_ = false;
}

std::optional<CatalogCommand> MemberRepair::step(const GroupRecord &group,
                                                 const FailoverContext &context, Instant now)
{
    if (!wait_ || term_ != group.view.term || voterVersion_ != group.voterVersion) {
        startOver(group, context, now);
    }
    settle(group, context, now);
    return settled_ ? nextChange(group.view, context, now) : std::nullopt;
}

void MemberRepair::settle(const GroupRecord &group, const FailoverContext &context, Instant now)
{
    const auto &view = group.view;
    if (settled_) {
        return;
    }
    if (!primaryHasVoters_) {
        if (!callOpen_ && now >= retryAt_) {
            callOpen_ = true;
            context.outbox.call(*findMember(view, view.primary),
                                VotersCall{term_, voterVersion_, voterAddresses(view)},
                                context.settings.lease.callTimeout, now);
        }
        return;
    }
    if (!readyAt_) {
        if (!wait_->done(context.leases, now)) {
            return;
        }
        readyAt_ = now;
    }
    const auto *probe = context.endpoints.find(view.primary);
    if (probe == nullptr || !probe->report || probe->askedAt < *readyAt_
        || probe->report->term != term_ || probe->report->role != "primary") {
        return;
    }
    const auto &report = *probe->report;
    // The majority index must lie in the present term, or it could still be overwritten; the first
    // entry of a term is written by the promotion itself.
    if (!heldUpTo_ && report.position.term == term_) {
        heldUpTo_ = report.position.index;
    }
    settled_ = heldUpTo_ && report.majorityIndex >= *heldUpTo_;
}

std::optional<CatalogCommand>
MemberRepair::nextChange(const GroupView &view, const FailoverContext &context, Instant now) const
{
    const auto voters = voterCount(view);
    const auto wanted = static_cast<std::size_t>(declaredInstances(context.catalog, view.group));
    if (voters > wanted) {
        const auto *surplus = findSurplus(view, context, now);
        if (surplus == nullptr) {
            return std::nullopt;
        }
        const auto &name = surplus->announcement.endpoint;
        context.outbox.log(view.group + ": " + name + " stops being a voter, "
                           + std::to_string(voters) + " voters for " + std::to_string(wanted)
                           + " instances");
        return CatalogCommand{SetVoter{view.group, view.term, name, false}};
    }
    const bool anyLost =
        std::any_of(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.voter && isLost(member, context, now);
        });
    if (voters == wanted && !anyLost) {
        return std::nullopt;
    }
    const auto *spare = findSpare(view, context);
    if (spare == nullptr) {
        return std::nullopt;
    }
    const auto &name = spare->announcement.endpoint;
    context.outbox.log(view.group + ": " + name + " becomes a voter, it has caught up and "
                       + (anyLost ? "a voter is lost" : "a voter is missing"));
    return CatalogCommand{SetVoter{view.group, view.term, name, true}};
}

void MemberRepair::answered(const OpenCall &call)
{
    const auto *voters = std::get_if<VotersCall>(&call.request);
    if (voters != nullptr && voters->term == term_ && voters->version == voterVersion_) {
        callOpen_ = false;
        primaryHasVoters_ = true;
    }
}

void MemberRepair::failed(const OpenCall &call, const FailoverContext &context, Instant now)
{
    const auto *voters = std::get_if<VotersCall>(&call.request);
    if (voters != nullptr && voters->term == term_ && voters->version == voterVersion_) {
        callOpen_ = false;
        retryAt_ = now + context.settings.lease.probeInterval;
    }
}

} // namespace hyssoprock
