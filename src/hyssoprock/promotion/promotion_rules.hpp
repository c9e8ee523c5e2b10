#pragma once

#include <hyssoprock/promotion/primary_tracker.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/promotion_order.hpp>
#include <hyssoprock/promotion/service_context.hpp>
#include <hyssoprock/promotion/synchronous_target_selector.hpp>

/// @file
/// @brief When a promotion call may be sent, and when a pause may end.

namespace hyssoprock::internal {

/// @brief Conditions that no answered commit is lost; all are judged by what the other parts know.
class PromotionRules
{
public:
    PromotionRules(ServiceScope &scope, const PrimaryTracker &tracker,
                   const PromotionCandidates &candidates, PromotionOrder &order,
                   const PausedChoice &choice)
        : scope_{scope}
        , tracker_{tracker}
        , candidates_{candidates}
        , order_{order}
        , pausedChoice_{choice}
    {}

    /// @brief Whether no order or call is left that relies on the pause.
    [[nodiscard]] bool mayResume(Instant now);
    /// @brief Whether an order for the target may be proposed, or its call sent.
    [[nodiscard]] bool mayCall(Instant now) const;
    /// @brief Whether no call is left that may yet be executed.
    [[nodiscard]] bool callsEnded(Instant now);
    /// @brief Whether what the target was chosen on still holds.
    [[nodiscard]] bool holdsAllCommits() const;

private:
    ServiceScope &scope_;
    const PrimaryTracker &tracker_;
    const PromotionCandidates &candidates_;
    PromotionOrder &order_;
    const PausedChoice &pausedChoice_;
};

} // namespace hyssoprock::internal
