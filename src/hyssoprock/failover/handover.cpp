#include <hyssoprock/failover/handover.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

/// Whether a member is an active voter that responds and follows the primary in the current term.
bool canSucceed(const Member &member, const GroupView &view, const FailoverContext &context)
{
    const auto &name = member.announcement.endpoint;
    if (!member.voter || member.state != EndpointState::Active || name == view.primary) {
        return false;
    }
    const auto *probe = context.probes.find(name);
    return probe != nullptr && probe->reachable && probe->status && probe->status->term == view.term
           && probe->status->primary == view.primary;
}

} // namespace

std::optional<CatalogCommand> Handover::begin(const GroupView &view, const FailoverContext &context,
                                              Instant now)
{
    if (now < nextAttempt_) {
        return std::nullopt;
    }
    const bool hasSuccessor =
        std::any_of(view.members.begin(), view.members.end(),
                    [&](const Member &member) { return canSucceed(member, view, context); });
    if (!hasSuccessor) {
        if (!loggedNoSuccessor_) {
            context.outbox.log(view.group + ": no successor for " + view.primary
                               + " yet, the handover is delayed");
            loggedNoSuccessor_ = true;
        }
        return std::nullopt;
    }
    loggedNoSuccessor_ = false;
    return CatalogCommand{BeginHandover{view.group, view.term}};
}

void Handover::handleBegin(const GroupView &view, Instant now)
{
    reset();
    begunAt_ = now;
    version_ = view.version;
}

std::optional<CatalogCommand> Handover::step(const GroupView &view, const FailoverContext &context,
                                             Instant now)
{
    if (!begunAt_) {
        return cancel(view, context, now, "it was begun by an earlier leader");
    }
    const auto *primary = findMember(view, view.primary);
    if (primary == nullptr || primary->state == EndpointState::Active) {
        return cancel(view, context, now, "the planned stop was cancelled");
    }
    if (now >= *begunAt_ + context.settings.lease.handoverLimit) {
        return cancel(view, context, now,
                      quiescedAt_ ? "no successor caught up in time"
                                  : "hosts did not quiesce in time");
    }
    if (!context.leases.allHostsReport(&HostLease::quiesced, view.group, version_, now)) {
        // A host that has joined since may not have reported yet.
        quiescedAt_.reset();
        return std::nullopt;
    }
    if (!quiescedAt_) {
        quiescedAt_ = now;
    }
    successor_ = findCaughtUp(view, context, now);
    if (successor_.empty()) {
        return std::nullopt;
    }
    context.outbox.log(view.group + ": handover from " + view.primary + " to " + successor_
                       + ", all hosts are quiesced and it has caught up");
    return CatalogCommand{BeginTerm{view.group, view.term + 1}};
}

std::string Handover::findCaughtUp(const GroupView &view, const FailoverContext &context,
                                   Instant) const
{
    const auto *primary = context.probes.find(view.primary);
    if (primary == nullptr || !primary->reachable || !primary->status
        || primary->requestSentAt < *quiescedAt_ || primary->status->term != view.term) {
        return {};
    }
    // No host sends work now, so a position read after all hosts had quiesced is final.
    const auto last = primary->status->position;
    for (const auto &member : view.members) {
        const auto *probe = context.probes.find(member.announcement.endpoint);
        if (canSucceed(member, view, context) && probe->status->position >= last) {
            return member.announcement.endpoint;
        }
    }
    return {};
}

std::optional<CatalogCommand> Handover::cancel(const GroupView &view,
                                               const FailoverContext &context, Instant now,
                                               const std::string &reason)
{
    if (!cancelled_) {
        cancelled_ = true;
        nextAttempt_ = now + context.settings.lease.handoverRetry;
        context.outbox.log(view.group + ": handover from " + view.primary
                           + " called off: " + reason);
    }
    return CatalogCommand{CancelHandover{view.group, view.term}};
}

void Handover::reset() noexcept
{
    begunAt_.reset();
    quiescedAt_.reset();
    successor_.clear();
    version_ = 0;
    cancelled_ = false;
}

} // namespace hyssoprock
