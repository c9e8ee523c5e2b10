#include <criterion/criterion.h>

#include <hyssoprock/promotion/promotion_metrics.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

struct Follower
{
    void event(const PromotionEvent &event) { times.note(event, now); }
    void action(const PromotionAction &action) { times.note(action, now); }
    void propose() { action(promotion::Propose{1, ControlCommand{OrderPromotion{"s", "b"}}}); }
    Duration sum(PromotionPart part) const
    {
        return times.counters().parts[static_cast<std::size_t>(part)].sum;
    }
    std::uint64_t calls(PromotionOutcome outcome) const
    {
        return times.counters().calls[static_cast<std::size_t>(outcome)];
    }

    Instant now{1000s};
    PromotionTimes times;
};

} // namespace

// Guards against parts that do not add up to the promotion, and against the start of one promotion
// that is counted for the next.
Test(promotion_times, theParts)
{
    Follower follower;
    for (int i = 0; i < 2; ++i) {
        follower.action(promotion::AskEvidence{"s", "a"});
        follower.now += 100ms;
        follower.action(promotion::CommandEndpoint{1, "s", "b", "x", EndpointOrder::Status, 0});
        follower.now += 50ms;
        follower.propose();
        follower.now += 20ms;
        follower.event(promotion::OrderEnded{"s", 1, 7});
        follower.action(promotion::CallPromotion{"s", "b", 7});
        follower.now += 300ms;
        follower.event(promotion::CallEnded{"s", "b", 7, PromotionOutcome::Accepted});
        follower.now += 1h;
    }
    cr_assert(follower.sum(PromotionPart::Evidence) == 200ms);
    cr_assert(follower.sum(PromotionPart::Choice) == 100ms);
    cr_assert(follower.sum(PromotionPart::Commit) == 40ms);
    cr_assert(follower.sum(PromotionPart::Call) == 600ms);
    cr_assert(follower.sum(PromotionPart::Total) == 940ms);
    cr_assert_eq(follower.calls(PromotionOutcome::Accepted), 2U);
}

// Guards against a repeated call that hides how long the promotion took in all, and against old
// questions to entry hosts that are counted as its beginning.
Test(promotion_times, aRepeatedCall)
{
    Follower follower;
    follower.action(promotion::AskEvidence{"s", "a"});
    follower.now += 10s;
    follower.propose();
    for (int i = 0; i < 2; ++i) {
        follower.event(promotion::OrderEnded{"s", 1, 7});
        follower.action(promotion::CallPromotion{"s", "b", 7});
        follower.now += 600ms;
        follower.event(promotion::CallEnded{
            "s", "b", 7, i == 0 ? PromotionOutcome::NoAnswer : PromotionOutcome::Accepted});
        follower.propose();
    }
    cr_assert(follower.sum(PromotionPart::Evidence) == 0ms);
    cr_assert(follower.sum(PromotionPart::Total) == 1200ms);
    cr_assert(follower.sum(PromotionPart::Call) == 600ms, "only answered calls");
    cr_assert_eq(follower.calls(PromotionOutcome::NoAnswer), 1U);
}

// Guards against a promotion that another leader ends and that is counted here days later.
Test(promotion_times, theEndOfLeadershipEndsThePromotion)
{
    Follower follower;
    follower.propose();
    follower.event(promotion::LeadershipLost{});
    follower.now += 1h;
    follower.event(promotion::CallEnded{"s", "b", 7, PromotionOutcome::Accepted});
    cr_assert(follower.sum(PromotionPart::Total) == 0ms);
}
