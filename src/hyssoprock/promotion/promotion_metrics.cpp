#include <hyssoprock/promotion/promotion_metrics.hpp>

#include <variant>

namespace hyssoprock {

namespace {

// Entry hosts are asked, and endpoints queried, without a promotion too. What is this old does not
// belong to the promotion that begins.
constexpr Duration burstGap = std::chrono::seconds{2};

} // namespace

void PromotionMetrics::Burst::record(Instant now)
{
    if (!recent(now)) {
        first = now;
    }
    last = now;
}

bool PromotionMetrics::Burst::recent(Instant now) const
{
    return last != Instant{} && now - last <= burstGap;
}

void PromotionMetrics::add(PromotionStage part, Duration duration)
{
    counters_.stages[static_cast<std::size_t>(part)].add(duration);
}

void PromotionMetrics::record(const PromotionEvent &event, Instant now)
{
    if (std::holds_alternative<promotion::LeadershipLost>(event)) {
        services_.clear();
    } else if (const auto *order = std::get_if<promotion::OrderProposalCompleted>(&event)) {
        if (order->token) {
            add(PromotionStage::Commit, now - services_[order->service].proposedAt);
        }
    } else if (const auto *call = std::get_if<promotion::CallCompleted>(&event)) {
        ++counters_.calls[static_cast<std::size_t>(call->outcome)];
        auto &progress = services_[call->service];
        if (call->outcome != PromotionOutcome::NoAnswer) {
            add(PromotionStage::Call, now - progress.calledAt);
        }
        if (call->outcome == PromotionOutcome::Accepted && progress.startedAt) {
            add(PromotionStage::Total, now - *progress.startedAt);
            progress = Progress{};
        }
    }
}

void PromotionMetrics::record(const PromotionAction &action, Instant now)
{
    if (const auto *question = std::get_if<promotion::RequestEvidence>(&action)) {
        services_[question->service].evidence.record(now);
    } else if (const auto *command = std::get_if<promotion::SendOperation>(&action)) {
        // A resume follows a promotion; it is not part of the next one.
        if (command->operation != EndpointOperation::Resume) {
            services_[command->service].queries.record(now);
        }
    } else if (const auto *proposal = std::get_if<promotion::Propose>(&action)) {
        if (const auto *order = std::get_if<OrderPromotion>(&proposal->command.body)) {
            proposed(services_[order->service], now);
        }
    } else if (const auto *call = std::get_if<promotion::SendPromotionCall>(&action)) {
        services_[call->service].calledAt = now;
    }
}

void PromotionMetrics::proposed(Progress &progress, Instant now)
{
    progress.proposedAt = now;
    if (progress.startedAt) {
        return;
    }
    const auto chosenFrom = progress.queries.recent(now) ? progress.queries.first : now;
    progress.startedAt = chosenFrom;
    add(PromotionStage::Choice, now - chosenFrom);
    if (progress.evidence.recent(chosenFrom) && progress.evidence.first <= chosenFrom) {
        progress.startedAt = progress.evidence.first;
        add(PromotionStage::Evidence, chosenFrom - progress.evidence.first);
    }
}

} // namespace hyssoprock
