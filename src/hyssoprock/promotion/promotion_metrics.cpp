#include <hyssoprock/promotion/promotion_metrics.hpp>

#include <variant>

namespace hyssoprock {

namespace {

// Entry hosts are asked and endpoints queried outside promotions, too. Messages older than this do
// not belong to the promotion that starts.
constexpr Duration burstGapMax = std::chrono::seconds{2};

} // namespace

void PromotionMetrics::Burst::record(Instant now)
{
    if (!isRecent(now)) {
        first = now;
    }
    last = now;
}

bool PromotionMetrics::Burst::isRecent(Instant now) const
{
    return last != Instant{} && now - last <= burstGapMax;
}

void PromotionMetrics::add(PromotionStage stage, Duration duration)
{
    counters_.stages[static_cast<std::size_t>(stage)].add(duration);
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
    if (const auto *request = std::get_if<promotion::RequestEvidence>(&action)) {
        services_[request->service].evidence.record(now);
    } else if (const auto *operation = std::get_if<promotion::SendOperation>(&action)) {
        // Resumes follow a promotion and are not part of the next one.
        if (operation->operation != EndpointOperation::Resume) {
            services_[operation->service].queries.record(now);
        }
    } else if (const auto *proposal = std::get_if<promotion::Propose>(&action)) {
        if (const auto *order = orderOf(proposal->command)) {
            recordProposal(services_[order->service], now);
        }
    } else if (const auto *call = std::get_if<promotion::SendPromotionCall>(&action)) {
        services_[call->service].calledAt = now;
    }
}

void PromotionMetrics::recordProposal(Progress &progress, Instant now)
{
    progress.proposedAt = now;
    if (progress.startedAt) {
        return;
    }
    const auto chosenFrom = progress.queries.isRecent(now) ? progress.queries.first : now;
    progress.startedAt = chosenFrom;
    add(PromotionStage::Choice, now - chosenFrom);
    if (progress.evidence.isRecent(chosenFrom) && progress.evidence.first <= chosenFrom) {
        progress.startedAt = progress.evidence.first;
        add(PromotionStage::Evidence, chosenFrom - progress.evidence.first);
    }
}

} // namespace hyssoprock
