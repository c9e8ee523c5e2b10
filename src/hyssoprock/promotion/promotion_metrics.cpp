#include <hyssoprock/promotion/promotion_metrics.hpp>

#include <variant>

namespace hyssoprock {

namespace {

// Entry hosts are asked, and endpoints queried, without a promotion too. What is this old does not
// belong to the promotion that begins.
constexpr Duration burstGap = std::chrono::seconds{2};

} // namespace

void PromotionTimes::Burst::note(Instant now)
{
    if (!recent(now)) {
        first = now;
    }
    last = now;
}

bool PromotionTimes::Burst::recent(Instant now) const
{
    return last != Instant{} && now - last <= burstGap;
}

void PromotionTimes::add(PromotionPart part, Duration duration)
{
    counters_.parts[static_cast<std::size_t>(part)].add(duration);
}

void PromotionTimes::note(const PromotionEvent &event, Instant now)
{
    if (std::holds_alternative<promotion::LeadershipLost>(event)) {
        services_.clear();
    } else if (const auto *order = std::get_if<promotion::OrderEnded>(&event)) {
        if (order->token) {
            add(PromotionPart::Commit, now - services_[order->service].proposedAt);
        }
    } else if (const auto *call = std::get_if<promotion::CallEnded>(&event)) {
        ++counters_.calls[static_cast<std::size_t>(call->outcome)];
        auto &progress = services_[call->service];
        if (call->outcome != PromotionOutcome::NoAnswer) {
            add(PromotionPart::Call, now - progress.calledAt);
        }
        if (call->outcome == PromotionOutcome::Accepted && progress.startedAt) {
            add(PromotionPart::Total, now - *progress.startedAt);
            progress = Progress{};
        }
    }
}

void PromotionTimes::note(const PromotionAction &action, Instant now)
{
    if (const auto *question = std::get_if<promotion::AskEvidence>(&action)) {
        services_[question->service].evidence.note(now);
    } else if (const auto *command = std::get_if<promotion::CommandEndpoint>(&action)) {
        // A resume follows a promotion; it is not part of the next one.
        if (command->order != EndpointOrder::Resume) {
            services_[command->service].queries.note(now);
        }
    } else if (const auto *proposal = std::get_if<promotion::Propose>(&action)) {
        if (const auto *order = std::get_if<OrderPromotion>(&proposal->command.body)) {
            proposed(services_[order->service], now);
        }
    } else if (const auto *call = std::get_if<promotion::CallPromotion>(&action)) {
        services_[call->service].calledAt = now;
    }
}

void PromotionTimes::proposed(Progress &progress, Instant now)
{
    progress.proposedAt = now;
    if (progress.startedAt) {
        return;
    }
    const auto chosenFrom = progress.queries.recent(now) ? progress.queries.first : now;
    progress.startedAt = chosenFrom;
    add(PromotionPart::Choice, now - chosenFrom);
    if (progress.evidence.recent(chosenFrom) && progress.evidence.first <= chosenFrom) {
        progress.startedAt = progress.evidence.first;
        add(PromotionPart::Evidence, chosenFrom - progress.evidence.first);
    }
}

} // namespace hyssoprock
