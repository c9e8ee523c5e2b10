#include <hyssoprock/promotion/promotion_order.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/promotion/replica_pauses.hpp>

namespace hyssoprock::internal {

void PromotionOrder::restore(const PromotionRecord &record, Instant now)
{
    target_ = record.endpoint;
    replaced_ = record.replaced;
    term_ = record.term;
    token_ = record.token;
    openCalls_[record.token] = {target_, now + unansweredOperationLifetime, false};
}

void PromotionOrder::beginPromotion() noexcept
{
    firstToken_ = 0;
    acceptedEarly_ = false;
}

void PromotionOrder::propose(const std::string &target, const std::string &replaced,
                             std::uint64_t term, const TermStart &start)
{
    target_ = target;
    replaced_ = replaced;
    term_ = term;
    OrderPromotion order{scope_.service(), target, replaced, term};
    // Earlier versions cannot read an order with a start.
    proposalId_ = start.term == 0 ? scope_.propose({std::move(order)})
                                  : scope_.propose({OrderPromotionAt{std::move(order), start}});
}

void PromotionOrder::handleCommit(std::uint64_t token)
{
    token_ = token;
    abandoned_ = false;
    accepted_ = false;
    pendingSettlement_.reset();
    settlementRetryAt_.reset();
    if (firstToken_ == 0) {
        firstToken_ = token_;
    }
}

void PromotionOrder::sendCall(Instant now)
{
    openCalls_[token_] = {target_, now + unansweredOperationLifetime, false};
    scope_.log("promotes " + target_ + " with token " + std::to_string(token_));
    scope_.addAction(promotion::SendPromotionCall{scope_.service(), target_, token_});
}

CallEffect PromotionOrder::handle(const promotion::CallCompleted &event, bool calling, Instant now)
{
    const bool current = calling && event.token == token_;
    switch (event.outcome) {
    case PromotionOutcome::Limited:
        openCalls_.erase(event.token);
        return current ? CallEffect::Retry : CallEffect::None;
    case PromotionOutcome::NoAnswer:
        return current ? CallEffect::Retry : CallEffect::None;
    case PromotionOutcome::Refused:
    case PromotionOutcome::Accepted:
        break;
    }
    if (scope_.isFenced()) {
        // The platform has seen this token, so it refuses calls with lower ones.
        openCalls_.erase(openCalls_.begin(), openCalls_.upper_bound(event.token));
    } else {
        openCalls_.erase(event.token);
    }
    if (event.outcome == PromotionOutcome::Refused) {
        return current ? CallEffect::Refused : CallEffect::None;
    }
    openCalls_[event.token] = {event.endpoint, now + depositionGracePeriod, true};
    // A late answer to an earlier call of this promotion has the same effect as an answer to the
    // current one.
    return firstToken_ != 0 && event.token >= firstToken_ && event.endpoint == target_
               ? CallEffect::Promoted
               : CallEffect::None;
}

void PromotionOrder::finish()
{
    if (scope_.isFenced()) {
        openCalls_.clear();
    }
    beginPromotion();
}

void PromotionOrder::settle(Instant now)
{
    accepted_ = true;
    evaluate(now);
}

void PromotionOrder::proposeSettlement(bool promoted)
{
    abandoned_ = false;
    accepted_ = false;
    pendingSettlement_ = SettlePromotion{scope_.service(), token_, promoted};
    settlementRetryAt_.reset();
    (void)scope_.propose({*pendingSettlement_});
}

void PromotionOrder::abandon(Instant now)
{
    abandoned_ = true;
    evaluate(now);
}

void PromotionOrder::handle(const promotion::SettlementProposalCompleted &event, Instant now)
{
    if (!pendingSettlement_ || pendingSettlement_->token != event.token) {
        return;
    }
    if (event.committed) {
        pendingSettlement_.reset();
    } else {
        settlementRetryAt_ = now + proposalRetryDelay;
    }
}

void PromotionOrder::evaluate(Instant now)
{
    if (abandoned_) {
        if (const auto end = callsExpireAt(now);
            end && (scope_.synchronousReplicas() > 0 || !scope_.isFenced())) {
            scope_.evaluateBy(*end);
        } else {
            proposeSettlement(false);
        }
    }
    if (accepted_) {
        if (const auto end = unansweredUntil(now); end && !scope_.isFenced()) {
            scope_.evaluateBy(*end);
        } else {
            proposeSettlement(true);
        }
    }
    if (settlementRetryAt_ && now >= *settlementRetryAt_) {
        settlementRetryAt_.reset();
        (void)scope_.propose({*pendingSettlement_});
    }
}

std::optional<Instant> PromotionOrder::callsExpireAt(Instant now)
{
    std::erase_if(openCalls_, [now](const auto &call) { return call.second.expiresAt <= now; });
    if (openCalls_.empty()) {
        return std::nullopt;
    }
    return std::max_element(
               openCalls_.begin(), openCalls_.end(),
               [](const auto &a, const auto &b) { return a.second.expiresAt < b.second.expiresAt; })
        ->second.expiresAt;
}

std::optional<Instant> PromotionOrder::unansweredUntil(Instant now) const
{
    std::optional<Instant> until;
    for (const auto &[token, call] : openCalls_) {
        if (!call.answered && call.expiresAt > now) {
            until = std::max(until.value_or(now), call.expiresAt);
        }
    }
    return until;
}

std::optional<Instant> PromotionOrder::conflictsUntil(const std::string &target, Instant now) const
{
    std::optional<Instant> until;
    for (const auto &[token, call] : openCalls_) {
        if (call.target != target && call.expiresAt > now) {
            until = std::max(until.value_or(now), call.expiresAt);
        }
    }
    return until;
}

std::string PromotionOrder::openTarget(Instant now) const
{
    const auto found = std::find_if(openCalls_.begin(), openCalls_.end(), [now](const auto &call) {
        return call.second.expiresAt > now;
    });
    return found == openCalls_.end() ? std::string{} : found->second.target;
}

} // namespace hyssoprock::internal
