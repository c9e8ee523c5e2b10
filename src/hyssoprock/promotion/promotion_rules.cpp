#include <hyssoprock/promotion/promotion_rules.hpp>

namespace hyssoprock::internal {

bool PromotionRules::mayResume(Instant now)
{
    // A new leader relies on it that calls of a settled order are not executed any more.
    return !order_.settling() && callsEnded(now);
}

bool PromotionRules::mayCall(Instant now) const
{
    const auto *const target = scope_.find(order_.target());
    if (scope_.synchronous() > 0 && order_.callOpen()) {
        // Until a call is answered, an earlier one may be executed, so a target that cannot be
        // responded is not given up: if it does not run, the platform refuses the next call.
        return target == nullptr || target->record.phase == EndpointPhase::Ready
               || pausedChoice_.executed();
    }
    return target != nullptr && candidates_.eligible(*target, now);
}

bool PromotionRules::callsEnded(Instant now)
{
    if (const auto end = order_.callsEnd(now)) {
        // After a resume, a late execution would promote a target that lacks newer commits.
        scope_.wakeAt(*end);
        return false;
    }
    if (const auto end = tracker_.depositionEnd(now)) {
        scope_.wakeAt(*end);
        return false;
    }
    return true;
}

bool PromotionRules::holdsAllCommits() const
{
    return scope_.synchronous() == 0 || pausedChoice_.holdsAllCommits();
}

} // namespace hyssoprock::internal
