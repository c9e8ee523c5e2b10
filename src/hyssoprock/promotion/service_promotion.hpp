#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/asynchronous_target_selector.hpp>
#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/primary_evidence.hpp>
#include <hyssoprock/promotion/primary_tracker.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/promotion/promotion_order.hpp>
#include <hyssoprock/promotion/promotion_rules.hpp>
#include <hyssoprock/promotion/service_context.hpp>
#include <hyssoprock/promotion/synchronous_target_selector.hpp>

/// @file
/// @brief Promotions of one service.

namespace hyssoprock::internal {

/// @brief State machine of one service, alive while this host leads.
class ServicePromotion
{
public:
    ServicePromotion(PromotionContext &context, std::string service)
        : scope_{context, std::move(service)}
        , pausedChoice_{scope_, round_, candidates_,
                        [this](Instant now) { return rules_.mayResume(now); }}
    {}
    ServicePromotion(const ServicePromotion &) = delete;
    ServicePromotion &operator=(const ServicePromotion &) = delete;
    ~ServicePromotion() = default;

    /// @brief Takes the newest order from the log of the control group.
    void restore(const PromotionRecord &record, Instant now);
    /// @brief Takes the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now) { pausedChoice_.restore(record, now); }
    void take(const EvidenceReport &report, Instant now) { evidence_.add(report, now); }
    void take(const promotion::OperationCompleted &event, Instant now);
    void take(const promotion::OrderProposalCompleted &event, Instant now);
    void take(const promotion::SettlementProposalCompleted &event, Instant now)
    {
        order_.take(event, now);
    }
    void take(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        pausedChoice_.take(event, now);
    }
    void take(const promotion::CallCompleted &event, Instant now);
    /// @brief Carries out what has become due, and finds the next deadline.
    void evaluate(Instant now);
    /// @brief When evaluate() is due at the latest.
    [[nodiscard]] std::optional<Instant> deadline() const noexcept { return scope_.deadline(); }

private:
    enum class Step : std::uint8_t {
        Idle,
        CheckingRole,    ///< Entry hosts say that the named primary is none; all are queried.
        CheckingPrimary, ///< No entry host is connected; the primary is queried.
        Choosing,        ///< A target is chosen.
        Ordering,        ///< The order is being committed.
        Calling,         ///< The platform was called.
        Pausing,         ///< Waiting to order again.
    };

    void evaluateIdle(Instant now);
    void repeatRestored(Instant now);
    void judge(const KnownEndpoint &primary, Instant now);
    void judgeMissing(Instant now);
    void beginPromotion(const std::string &reason, const KnownEndpoint *replaced, Instant now);
    void beginAgain(const std::string &reason, Instant now);
    void confirm(const std::string &endpoint, Instant now);
    void beginPause(const std::string &reason, bool confirms, Instant now);
    void followChoice(ChoiceState state, const std::string &target);
    /// @brief Takes up the cause of the promotion again after a while.
    void retryLater(Instant now);
    void query(Step step, const std::vector<const KnownEndpoint *> &endpoints, Duration timeout,
               Instant now);
    void finishRoleCheck(Instant now);
    void finishPrimaryCheck(Instant now);
    void advance(Instant now);
    void order(const std::string &target);
    void orderAgain(Instant now);
    void pause(Instant until);
    void accept(Instant now);

    ServiceScope scope_;
    PrimaryTracker tracker_{scope_};
    PrimaryEvidence evidence_{scope_};
    PromotionCandidates candidates_{scope_, evidence_};
    StatusRound round_{scope_};
    PromotionOrder order_{scope_};
    QueriedChoice queriedChoice_{scope_, round_, candidates_};
    PausedChoice pausedChoice_;
    PromotionRules rules_{scope_, tracker_, candidates_, order_, pausedChoice_};

    Step step_ = Step::Idle;
    Instant stepDeadline_{};
    bool planned_ = false;
    bool paused_ = false;        ///< Choosing: by PausedChoice.
    std::string replaced_{};     ///< Primary that the promotion in progress replaces.
    bool restoredOrder_ = false; ///< The order of an earlier leader is not settled.
};

} // namespace hyssoprock::internal
