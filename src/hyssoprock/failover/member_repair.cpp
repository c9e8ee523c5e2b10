#include <hyssoprock/failover/member_repair.hpp>

#include <algorithm>

#include <hyssoprock/failover/voter_placement.hpp>

namespace hyssoprock {

namespace {

/// Number of probe intervals for which a better distribution must have been possible without a
/// break. A flapping member restarts the wait, and a voter is replaced only after
/// LeaseSettings::replaceVoter, so voters are not moved back and forth.
constexpr int rebalanceDelayProbeIntervals = 8;

/// Whether the voters and a spare have all responded to a status call sent at or after a time.
bool haveRespondedSince(Instant time, const Member &spare, const GroupView &view,
                        const FailoverContext &context)
{
    return std::all_of(view.members.begin(), view.members.end(), [&](const Member &member) {
        const auto *probe = context.probes.find(member.announcement.endpoint);
        return (!member.voter && &member != &spare)
               || (probe != nullptr && probe->requestSentAt >= time);
    });
}

/// Reason for the removal of a voter, for the log.
std::string removalReason(const Member &member, const FailoverContext &context, Instant now)
{
    if (member.state == EndpointState::Stopped) {
        return "it is stopped";
    }
    if (isOutOfService(member, context, now)) {
        return "it is out of service";
    }
    return member.state != EndpointState::Active ? "it has a planned stop"
                                                 : "no other data centre has more voters";
}

} // namespace

void MemberRepair::handlePromotion(std::uint64_t term, std::uint64_t voterVersion) noexcept
{
    promotedTerm_ = term;
    promotedVersion_ = voterVersion;
}

void MemberRepair::restart(const GroupRecord &group, const FailoverContext &context, Instant now)
{
    term_ = group.view.term;
    voterVersion_ = group.voterVersion;
    wait_.emplace(context.leases, group.view.version, now);
    primaryHasVoters_ = promotedTerm_ == term_ && promotedVersion_ == voterVersion_;
    callPending_ = false;
    retryAt_ = now;
    votersConfirmedAt_.reset();
    settleIndex_.reset();
    settled_ = false;
    rebalancePossibleSince_.reset();
}

std::optional<CatalogCommand> MemberRepair::step(const GroupRecord &group,
                                                 const FailoverContext &context, Instant now)
{
    if (!wait_ || term_ != group.view.term || voterVersion_ != group.voterVersion) {
        restart(group, context, now);
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
        if (!callPending_ && now >= retryAt_) {
            callPending_ = true;
            context.outbox.call(*findMember(view, view.primary),
                                VotersCall{term_, voterVersion_, voterAddresses(view)},
                                context.settings.lease.callTimeout, now);
        }
        return;
    }
    if (!votersConfirmedAt_) {
        if (!wait_->done(context.leases, now)) {
            return;
        }
        votersConfirmedAt_ = now;
    }
    const auto *probe = context.probes.find(view.primary);
    if (probe == nullptr || !probe->status || probe->requestSentAt < *votersConfirmedAt_
        || probe->status->term != term_ || probe->status->role != "primary") {
        return;
    }
    const auto &status = *probe->status;
    // The majority index must lie in the current term, or it could still be overwritten; the first
    // entry of a term is written by the promotion itself.
    if (!settleIndex_ && status.position.term == term_) {
        settleIndex_ = status.position.index;
    }
    settled_ = settleIndex_ && status.majorityIndex >= *settleIndex_;
}

std::optional<CatalogCommand> MemberRepair::nextChange(const GroupView &view,
                                                       const FailoverContext &context, Instant now)
{
    const auto voters = voterCount(view);
    const auto declared = static_cast<std::size_t>(declaredInstances(context.catalog, view.group));
    if (voters > declared) {
        return removeExcessVoter(view, context, now);
    }
    const bool anyOutOfService =
        std::any_of(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.voter && isOutOfService(member, context, now);
        });
    if (voters == declared && !anyOutOfService) {
        return rebalanceVoters(view, context, now);
    }
    rebalancePossibleSince_.reset();
    const auto *spare = chooseVoterToAdd(view, context, now);
    return spare == nullptr
               ? std::nullopt
               : add(*spare, anyOutOfService ? "a voter is out of service" : "a voter is missing",
                     view, context, now);
}

std::optional<CatalogCommand>
MemberRepair::removeExcessVoter(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto *voter = chooseVoterToRemove(view, context, now);
    if (voter == nullptr) {
        return std::nullopt;
    }
    const auto &name = voter->announcement.endpoint;
    context.outbox.log(view.group + ": " + name + " in " + voter->announcement.dataCentre
                       + " stops being a voter, " + removalReason(*voter, context, now) + " ("
                       + std::to_string(voterCount(view)) + " voters for "
                       + std::to_string(declaredInstances(context.catalog, view.group))
                       + " instances; " + describeVoterDistribution(view, context, now) + ")");
    return CatalogCommand{SetVoter{view.group, view.term, name, false}};
}

std::optional<CatalogCommand>
MemberRepair::rebalanceVoters(const GroupView &view, const FailoverContext &context, Instant now)
{
    const auto *spare = chooseRebalancingSpare(view, context, now);
    if (spare == nullptr) {
        rebalancePossibleSince_.reset();
        return std::nullopt;
    }
    rebalancePossibleSince_ = rebalancePossibleSince_.value_or(now);
    const auto steadyAt = *rebalancePossibleSince_
                          + rebalanceDelayProbeIntervals * context.settings.lease.probeInterval;
    if (!haveRespondedSince(steadyAt, *spare, view, context)) {
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
                       + describeVoterDistribution(view, context, now) + ")");
    return CatalogCommand{SetVoter{view.group, view.term, name, true}};
}

void MemberRepair::handleCallSuccess(const PendingCall &call)
{
    const auto *voters = std::get_if<VotersCall>(&call.request);
    if (voters != nullptr && voters->term == term_ && voters->version == voterVersion_) {
        callPending_ = false;
        primaryHasVoters_ = true;
    }
}

void MemberRepair::handleCallFailure(const PendingCall &call, const FailoverContext &context,
                                     Instant now)
{
    const auto *voters = std::get_if<VotersCall>(&call.request);
    if (voters != nullptr && voters->term == term_ && voters->version == voterVersion_) {
        callPending_ = false;
        retryAt_ = now + context.settings.lease.probeInterval;
    }
}

} // namespace hyssoprock
