#include <hyssoprock/failover/member_repair.hpp>

#include <algorithm>

#include <hyssoprock/failover/voter_placement.hpp>

namespace hyssoprock {

namespace {

/// A better spread must have been possible for this many probe intervals, as shown by answers. A
/// member that flaps starts the wait again, and a voter is given up only after
/// LeaseSettings::replaceVoter, so voters are not moved back and forth.
constexpr int steadyProbeIntervals = 8;

/// Whether the voters and a spare have all answered a status call that was sent after a time.
bool haveAnsweredSince(Instant time, const Member &spare, const GroupView &view,
                       const FailoverContext &context)
{
    return std::all_of(view.members.begin(), view.members.end(), [&](const Member &member) {
        const auto *probe = context.endpoints.find(member.announcement.endpoint);
        return (!member.voter && &member != &spare) || (probe != nullptr && probe->askedAt >= time);
    });
}

/// Why a voter goes, for the log.
std::string surplusReason(const Member &member, const FailoverContext &context, Instant now)
{
    if (member.state == EndpointState::Stopped) {
        return "it is stopped";
    }
    if (isLost(member, context, now)) {
        return "it is lost";
    }
    return member.state != EndpointState::Active ? "it has a planned stop"
                                                 : "no other data centre has more voters";
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
    betterSince_.reset();
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

std::optional<CatalogCommand> MemberRepair::nextChange(const GroupView &view,
                                                       const FailoverContext &context, Instant now)
{
    const auto voters = voterCount(view);
    const auto wanted = static_cast<std::size_t>(declaredInstances(context.catalog, view.group));
    if (voters > wanted) {
        return removeSurplus(view, context, now);
    }
    const bool anyLost =
        std::any_of(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.voter && isLost(member, context, now);
        });
    if (voters == wanted && !anyLost) {
        return improveSpread(view, context, now);
    }
    betterSince_.reset();
    const auto *spare = chooseSpare(view, context, now);
    return spare == nullptr ? std::nullopt
                            : add(*spare, anyLost ? "a voter is lost" : "a voter is missing", view,
                                  context, now);
}

std::optional<CatalogCommand>
MemberRepair::removeSurplus(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto *surplus = chooseSurplus(view, context, now);
    if (surplus == nullptr) {
        return std::nullopt;
    }
    const auto &name = surplus->announcement.endpoint;
    context.outbox.log(view.group + ": " + name + " in " + surplus->announcement.dataCentre
                       + " stops being a voter, " + surplusReason(*surplus, context, now) + " ("
                       + std::to_string(voterCount(view)) + " voters for "
                       + std::to_string(declaredInstances(context.catalog, view.group))
                       + " instances; " + describeSpread(view, context, now) + ")");
    return CatalogCommand{SetVoter{view.group, view.term, name, false}};
}

std::optional<CatalogCommand>
MemberRepair::improveSpread(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto *spare = chooseBetterSpare(view, context, now);
    if (spare == nullptr) {
        betterSince_.reset();
        return std::nullopt;
    }
    betterSince_ = betterSince_.value_or(now);
    const auto steadyAt =
        *betterSince_ + steadyProbeIntervals * context.settings.lease.probeInterval;
    if (!haveAnsweredSince(steadyAt, *spare, view, context)) {
        return std::nullopt;
    }
    return add(*spare, "another data centre has at least two voters more", view, context, now);
}

std::optional<CatalogCommand> MemberRepair::add(const Member &spare, const std::string &reason,
                                                const GroupView &view,
                                                const FailoverContext &context, Instant now)
{
    const auto &name = spare.announcement.endpoint;
    context.outbox.log(view.group + ": " + name + " in " + spare.announcement.dataCentre
                       + " becomes a voter, it has caught up and " + reason + " ("
                       + describeSpread(view, context, now) + ")");
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
