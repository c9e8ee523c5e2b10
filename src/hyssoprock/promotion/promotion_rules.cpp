#include <hyssoprock/promotion/promotion_rules.hpp>

namespace hyssoprock::internal {

bool PromotionRules::mayResumeReplicas(Instant now)
{
    // A new leader relies on calls of a settled order no longer being executed.
    return !order_.isSettlementPending() && allCallsCompleted(now);
}

bool PromotionRules::mayCallTarget(Instant now) const
{
    const auto *const target = scope_.find(order_.target());
    if (scope_.synchronousReplicas() > 0 && order_.hasOpenCalls()) {
        // Until a call is answered, an earlier one may still be executed, so an unreachable target
        // is kept. If it is not running, the platform refuses the next call.
        return target == nullptr || target->record.phase == EndpointPhase::Ready
               || synchronousSelector_.wasExecuted();
    }
    return target != nullptr && candidates_.isEligible(*target, now);
}

bool PromotionRules::allCallsCompleted(Instant now)
{
    if (const auto end = order_.callsExpireAt(now)) {
        // A call executed after the resume would promote a target that lacks newer commits.
        scope_.evaluateBy(*end);
        return false;
    }
    if (const auto end = tracker_.depositionEndsAt(now)) {
        scope_.evaluateBy(*end);
        return false;
    }
    return true;
}

bool PromotionRules::targetHoldsAllCommits() const
{
    return scope_.synchronousReplicas() == 0 || synchronousSelector_.targetHoldsAllCommits();
}

} // namespace hyssoprock::internal
