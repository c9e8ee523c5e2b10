#include <hyssoprock/failover/primary_election.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

PrimaryElection::PrimaryElection(const GroupRecord &group, const HostLeaseTable &leases,
                                 std::string preferred, Instant now)
    : term_{group.view.term}
    , preferred_{std::move(preferred)}
    , wait_{leases, group.view.version, now}
    , begunAt_{now}
{}

std::optional<CatalogCommand> PrimaryElection::step(const GroupRecord &group,
                                                    const FailoverContext &context, Instant now)
{
    const auto &view = group.view;
    check(view.term == term_, "the election belongs to the current term of the group");
    if (failed_) {
        return CatalogCommand{BeginTerm{view.group, term_ + 1}};
    }
    if (view.primary.empty()) {
        fenceVoters(view, context, now);
        if (!fencedAt_ && enoughFenced(group)) {
            fencedAt_ = now;
        }
        if (wait_.done(context.leases, now) && !leasesClearAt_) {
            leasesClearAt_ = now;
        }
        if (fencedAt_ && leasesClearAt_ && preferredHasResponded()) {
            return CatalogCommand{SetPrimary{view.group, term_, choose(view, context, now)}};
        }
        return std::nullopt;
    }
    if (promoted_) {
        return CatalogCommand{ActivatePrimary{view.group, term_}};
    }
    if (!promoteSent_) {
        promoteSent_ = true;
        chosen_ = view.primary;
        const auto *member = findMember(view, view.primary);
        context.outbox.call(*member, PromoteCall{term_, voterAddresses(view)},
                            context.settings.lease.callTimeout, now);
        context.outbox.log(view.group + ": promoting " + view.primary + " in term "
                           + std::to_string(term_) + ", the most advanced of the fenced voters");
    }
    return std::nullopt;
}

void PrimaryElection::fenceVoters(const GroupView &view, const FailoverContext &context,
                                  Instant now)
{
    for (const auto &member : view.members) {
        auto &fence = fences_[member.announcement.endpoint];
        if (!member.voter || fence.callPending || fence.position || now < fence.retryAt) {
            continue;
        }
        fence.callPending = true;
        context.outbox.call(member, FenceCall{term_}, context.settings.lease.callTimeout, now);
    }
}

bool PrimaryElection::enoughFenced(const GroupRecord &group) const
{
    const auto responses = static_cast<std::size_t>(
        std::count_if(fences_.begin(), fences_.end(),
                      [](const auto &entry) { return entry.second.position.has_value(); }));
    const auto voters = voterCount(group.view);
    // Before the first primary it is unknown which instance holds data, so all have to respond.
    return group.formed ? responses > voters / 2 : responses == voters;
}

bool PrimaryElection::preferredHasResponded() const
{
    const auto found = fences_.find(preferred_);
    return found == fences_.end() || found->second.position || found->second.failedOnce;
}

std::string PrimaryElection::choose(const GroupView &view, const FailoverContext &context,
                                    Instant now) const
{
    // Among equally advanced voters, one that more observers reach can serve more callers.
    using Rank = std::tuple<LogPosition, bool, bool, std::size_t>;
    std::optional<Rank> bestRank;
    std::string best;
    for (const auto &member : view.members) {
        const auto &name = member.announcement.endpoint;
        const auto found = fences_.find(name);
        if (!member.voter || found == fences_.end() || !found->second.position) {
            continue;
        }
        const Rank rank{*found->second.position, name == preferred_,
                        member.state == EndpointState::Active,
                        context.evidence.countReachingHosts(name, context.leases, now)};
        if (!bestRank || rank > *bestRank) {
            bestRank = rank;
            best = name;
        }
    }
    return best;
}

void PrimaryElection::handleCallSuccess(const PendingCall &call,
                                        const EndpointCallResponse &response, Instant)
{
    if (const auto *fence = std::get_if<FenceCall>(&call.request); fence != nullptr) {
        if (fence->term == term_) {
            auto &state = fences_[call.endpoint];
            state.callPending = false;
            state.position = response.position;
        }
    } else if (const auto *promote = std::get_if<PromoteCall>(&call.request); promote != nullptr) {
        promoted_ = promoted_ || (promote->term == term_ && call.endpoint == chosen_);
    }
}

void PrimaryElection::handleCallFailure(const PendingCall &call, const FailoverContext &context,
                                        const Error &error, Instant now)
{
    if (const auto *fence = std::get_if<FenceCall>(&call.request); fence != nullptr) {
        if (fence->term == term_) {
            auto &state = fences_[call.endpoint];
            state.callPending = false;
            state.failedOnce = true;
            state.retryAt = now + context.settings.lease.probeInterval;
        }
    } else if (const auto *promote = std::get_if<PromoteCall>(&call.request);
               promote != nullptr && promote->term == term_ && !promoted_) {
        failed_ = true;
        context.outbox.log(call.group + ": promotion of " + call.endpoint + " in term "
                           + std::to_string(term_) + " failed (" + error.detail
                           + "), trying the next term");
    }
}

void PrimaryElection::addPhaseDurations(FailoverReport &report, Instant now) const
{
    const auto fenced = fencedAt_.value_or(begunAt_);
    const auto clear = std::max(fenced, leasesClearAt_.value_or(fenced));
    report.fencing = fenced - begunAt_;
    report.leaseWait = clear - fenced;
    report.promotion = now - clear;
}

} // namespace hyssoprock
