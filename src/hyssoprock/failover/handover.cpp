#include <hyssoprock/failover/handover.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

/// Whether a member can take over: an active voter that follows the term and answers.
bool canSucceed(const Member &member, const GroupView &view, const FailoverContext &context)
{
    const auto &name = member.announcement.endpoint;
    if (!member.voter || member.state != EndpointState::Active || name == view.primary) {
        return false;
    }
    const auto *probe = context.endpoints.find(name);
    return probe != nullptr && probe->reachable && probe->report && probe->report->term == view.term
           && probe->report->primary == view.primary;
}

} // namespace

std::optional<CatalogCommand> Handover::begin(const GroupView &view, const FailoverContext &context,
                                              Instant now)
{
    if (now < nextAttempt_) {
        return std::nullopt;
    }
    const bool possible =
        std::any_of(view.members.begin(), view.members.end(),
                    [&](const Member &member) { return canSucceed(member, view, context); });
    if (!possible) {
        if (!loggedNoSuccessor_) {
            context.outbox.log(view.group + ": no successor for " + view.primary
                               + " yet, the handover waits");
            loggedNoSuccessor_ = true;
        }
        return std::nullopt;
    }
    loggedNoSuccessor_ = false;
    return CatalogCommand{BeginHandover{view.group, view.term}};
}

void Handover::begun(const GroupView &view, Instant now)
{
    reset();
    begunAt_ = now;
    version_ = view.version;
}

std::optional<CatalogCommand> Handover::step(const GroupView &view, const FailoverContext &context,
                                             Instant now)
{
    if (!begunAt_) {
        return cancel(view, context, now, "another leader began it");
    }
    const auto *primary = findMember(view, view.primary);
    if (primary == nullptr || primary->state == EndpointState::Active) {
        return cancel(view, context, now, "the planned stop was taken back");
    }
    if (now >= *begunAt_ + context.settings.lease.handoverLimit) {
        return cancel(view, context, now,
                      quiescedAt_ ? "no successor caught up in time"
                                  : "hosts did not quiesce in time");
    }
    if (!context.leases.allReport(&HostLease::quiesced, view.group, version_, now)) {
        // A host that has joined since may have to report first.
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
    const auto *primary = context.endpoints.find(view.primary);
    if (primary == nullptr || !primary->reachable || !primary->report
        || primary->askedAt < *quiescedAt_ || primary->report->term != view.term) {
        return {};
    }
    // No host sends work now, so the position read after all were quiesced is the last one.
    const auto last = primary->report->position;
    for (const auto &member : view.members) {
        const auto *probe = context.endpoints.find(member.announcement.endpoint);
        if (canSucceed(member, view, context) && probe->report->position >= last) {
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
