#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/asynchronous_target_selector.hpp>
#include <hyssoprock/promotion/member_log.hpp>
#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/primary_evidence.hpp>
#include <hyssoprock/promotion/primary_tracker.hpp>
#include <hyssoprock/promotion/primary_withdrawal.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/promotion/promotion_order.hpp>
#include <hyssoprock/promotion/promotion_rules.hpp>
#include <hyssoprock/promotion/service_scope.hpp>
#include <hyssoprock/promotion/synchronous_target_selector.hpp>

/// @file
/// @brief State machine that promotes the primary of one service.

namespace hyssoprock::internal {

/// @brief Promotion of one service; exists only while this host is the control leader.
class ServicePromotion
{
public:
    ServicePromotion(ControllerContext &controller, std::string service)
        : scope_{controller, std::move(service)}
        , synchronousSelector_{scope_, round_, candidates_, members_,
                               [this](Instant now) { return rules_.mayResumeReplicas(now); }}
    {}
    ServicePromotion(const ServicePromotion &) = delete;
    ServicePromotion &operator=(const ServicePromotion &) = delete;
    ~ServicePromotion() = default;

    /// @brief Restores the newest order from the log of the control group.
    /// @param unsettledSince When this host learned of the first order since the last settled one.
    void restore(const PromotionRecord &record, Instant unsettledSince, Instant now);
    /// @brief Restores the members from the log of the control group.
    void restore(const ServiceMembers &members) { members_.restore(members); }
    /// @brief Restores the starts of terms from the log of the control group.
    void restore(const TermStartsRecord &record);
    /// @brief Restores the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now)
    {
        synchronousSelector_.restore(record, now);
    }
    void handle(const EvidenceReport &report, Instant now) { evidence_.add(report, now); }
    void handle(const promotion::OperationCompleted &event, Instant now);
    void handle(const promotion::OrderProposalCompleted &event, Instant now);
    void handle(const promotion::SettlementProposalCompleted &event, Instant now)
    {
        order_.handle(event, now);
    }
    void handle(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        synchronousSelector_.handle(event, now);
    }
    void handle(const promotion::MembersProposalCompleted &event, Instant now)
    {
        members_.handle(event, now);
    }
    void handle(const promotion::CallCompleted &event, Instant now);
    /// @brief Performs everything that is due and determines the next deadline.
    void evaluate(Instant now);
    /// @brief Latest time for the next evaluate().
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept
    {
        return scope_.nextDeadline();
    }

private:
    enum class Step : std::uint8_t {
        Idle,
        QueryingRoles,   ///< Entry hosts report that the announced primary is a replica.
        QueryingPrimary, ///< No entry host is connected; the primary is queried.
        SelectingTarget,
        CommittingOrder,
        QueryingPresentPrimary, ///< An endpoint that claims to be primary is queried.
        WithdrawingPrimary,     ///< Entry hosts may still use the former primary.
        VerifyingTarget,        ///< The target is compared with the other replicas once more.
        CallingPlatform,
        WaitingToRetry, ///< Waiting to propose the order again.
    };

    void evaluateIdle(Instant now);
    /// @brief Whether no unanswered call can make another endpoint primary.
    [[nodiscard]] bool mayAnnounceClaim(const std::string &endpoint, Instant now);
    void retryRestoredOrder(Instant now);
    void evaluatePrimary(const KnownEndpoint &primary, Instant now);
    void evaluateMissingPrimary(Instant now);
    void beginPromotion(const std::string &reason, const KnownEndpoint *replaced, Instant now);
    void repeatOpenCall(const std::string &target, Instant now);
    void restartPromotion(const std::string &reason, Instant now);
    void confirmPrimary(const std::string &endpoint, Instant now);
    void beginSynchronousSelection(const std::string &reason, bool confirming, Instant now);
    void applySelection(SelectionState state, const std::string &target, Instant now);
    /// @brief Ends the attempt; the cause of the promotion is evaluated again after a delay.
    void retryLater(Instant now);
    void queryEndpoints(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                        Duration timeout, Instant now);
    void finishRoleQuery(Instant now);
    void finishPrimaryQuery(Instant now);
    void advanceStep(Instant now);
    void proposeOrder(const std::string &target);
    void retryOrder(Instant now);
    void callPlatform(Instant now);
    void advanceWithdrawal(Instant now);
    void advanceVerification(Instant now);
    [[nodiscard]] bool needsVerification() const;
    void abandonOrder(Instant now);
    /// @brief Queries whether an endpoint is the primary, so that a withdrawn one can be used
    /// again.
    /// @return False if its answer would prove nothing.
    [[nodiscard]] bool queryPresentPrimary(const std::string &endpoint, Instant now);
    void finishPresentPrimaryQuery(Instant now);
    void scheduleOrderRetry(Instant retryAt);
    /// @brief Start of the term of a target that was just selected; its term is 0 if unknown.
    [[nodiscard]] TermStart selectedTermStart(const std::string &target) const;
    void acceptPromotion(Instant now);

    ServiceScope scope_;
    PrimaryTracker tracker_{scope_};
    PrimaryWithdrawalStep withdrawal_{scope_, tracker_};
    PrimaryEvidence evidence_{scope_};
    PromotionCandidates candidates_{scope_, evidence_};
    OperationRound round_{scope_};
    MemberLog members_{scope_};
    PromotionOrder order_{scope_};
    AsynchronousTargetSelector asynchronousSelector_{scope_, round_, candidates_};
    SynchronousTargetSelector synchronousSelector_;
    PromotionRules rules_{scope_, tracker_, candidates_, order_, synchronousSelector_};

    Step step_ = Step::Idle;
    Instant stepDeadline_{};
    bool planned_ = false;
    bool usesSynchronousSelector_ = false; ///< Which selector is active in Step::SelectingTarget.
    std::string replaced_{};               ///< Primary that the promotion in progress replaces.
    TermStart proposedStart_{};            ///< Start of the term if the target is promoted.
    bool hasRestoredOrder_ = false;        ///< The order of an earlier leader is not settled.
};

} // namespace hyssoprock::internal
