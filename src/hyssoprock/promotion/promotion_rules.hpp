#pragma once

#include <hyssoprock/promotion/primary_tracker.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/promotion_order.hpp>
#include <hyssoprock/promotion/service_scope.hpp>
#include <hyssoprock/promotion/synchronous_target_selector.hpp>

/// @file
/// @brief Safety rules for sending promotion calls and resuming replicas.

namespace hyssoprock::internal {

/// @brief Conditions under which no acknowledged commit is lost.
class PromotionRules
{
public:
    PromotionRules(ServiceScope &scope, const PrimaryTracker &tracker,
                   const PromotionCandidates &candidates, PromotionOrder &order,
                   const SynchronousTargetSelector &selector)
        : scope_{scope}
        , tracker_{tracker}
        , candidates_{candidates}
        , order_{order}
        , synchronousSelector_{selector}
    {}

    /// @brief Whether no order or call relies on paused replicas any more.
    [[nodiscard]] bool mayResumeReplicas(Instant now);
    /// @brief Whether an order for the target may be proposed or its call sent.
    [[nodiscard]] bool mayCallTarget(Instant now) const;
    /// @brief Whether no call can be executed any more.
    [[nodiscard]] bool allCallsCompleted(Instant now);
    /// @brief Whether the target still holds every acknowledged commit.
    [[nodiscard]] bool targetHoldsAllCommits() const;

private:
    ServiceScope &scope_;
    const PrimaryTracker &tracker_;
    const PromotionCandidates &candidates_;
    PromotionOrder &order_;
    const SynchronousTargetSelector &synchronousSelector_;
};

} // namespace hyssoprock::internal
