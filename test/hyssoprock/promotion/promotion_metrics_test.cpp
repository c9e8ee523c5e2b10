#include <criterion/criterion.h>

#include <hyssoprock/promotion/promotion_metrics.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

struct Follower
{
    void event(const PromotionEvent &event) { metrics.record(event, now); }
    void action(const PromotionAction &action) { metrics.record(action, now); }
    void propose() { action(promotion::Propose{1, ControlCommand{OrderPromotion{"s", "b"}}}); }
    Duration sum(PromotionStage part) const
    {
        return metrics.counters().stages[static_cast<std::size_t>(part)].sum;
    }
    std::uint64_t calls(PromotionOutcome outcome) const
    {
        return metrics.counters().calls[static_cast<std::size_t>(outcome)];
    }

    Instant now{1000s};
    PromotionMetrics metrics;
};

} // namespace

// Guards against stages that do not add up to the total, and against attributing the start of one
// promotion to the next.
Test(promotion_metrics, measuresEachStage)
{
    Follower follower;
    for (int i = 0; i < 2; ++i) {
        follower.action(promotion::RequestEvidence{"s", "a"});
        follower.now += 100ms;
        follower.action(promotion::SendOperation{1, "s", "b", "x", EndpointOperation::Status, 0});
        follower.now += 50ms;
        follower.propose();
        follower.now += 20ms;
        follower.event(promotion::OrderProposalCompleted{"s", 1, 7});
        follower.action(promotion::SendPromotionCall{"s", "b", 7});
        follower.now += 300ms;
        follower.event(promotion::CallCompleted{"s", "b", 7, PromotionOutcome::Accepted});
        follower.now += 1h;
    }
    cr_assert(follower.sum(PromotionStage::Evidence) == 200ms);
    cr_assert(follower.sum(PromotionStage::Choice) == 100ms);
    cr_assert(follower.sum(PromotionStage::Commit) == 40ms);
    cr_assert(follower.sum(PromotionStage::Call) == 600ms);
    cr_assert(follower.sum(PromotionStage::Total) == 940ms);
    cr_assert_eq(follower.calls(PromotionOutcome::Accepted), 2U);
}

// Guards against a repeated call that hides the total duration, and against counting old requests
// to entry hosts as the start of the promotion.
Test(promotion_metrics, measuresFromTheFirstOrderWhenACallIsRepeated)
{
    Follower follower;
    follower.action(promotion::RequestEvidence{"s", "a"});
    follower.now += 10s;
    follower.propose();
    for (int i = 0; i < 2; ++i) {
        follower.event(promotion::OrderProposalCompleted{"s", 1, 7});
        follower.action(promotion::SendPromotionCall{"s", "b", 7});
        follower.now += 600ms;
        follower.event(promotion::CallCompleted{
            "s", "b", 7, i == 0 ? PromotionOutcome::NoAnswer : PromotionOutcome::Accepted});
        follower.propose();
    }
    cr_assert(follower.sum(PromotionStage::Evidence) == 0ms);
    cr_assert(follower.sum(PromotionStage::Total) == 1200ms);
    cr_assert(follower.sum(PromotionStage::Call) == 600ms, "only answered calls");
    cr_assert_eq(follower.calls(PromotionOutcome::NoAnswer), 1U);
}

// Guards against a promotion that another leader completes and that is counted here days later.
Test(promotion_metrics, dropsThePromotionWhenLeadershipIsLost)
{
    Follower follower;
    follower.propose();
    follower.event(promotion::LeadershipLost{});
    follower.now += 1h;
    follower.event(promotion::CallCompleted{"s", "b", 7, PromotionOutcome::Accepted});
    cr_assert(follower.sum(PromotionStage::Total) == 0ms);
}
