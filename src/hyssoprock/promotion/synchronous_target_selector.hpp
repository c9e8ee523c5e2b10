#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <hyssoprock/promotion/member_log.hpp>
#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/replica_pauses.hpp>
#include <hyssoprock/promotion/selection_state.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Selection of a promotion target for synchronous replication.

namespace hyssoprock::internal {

/// @brief Selects a target that holds every acknowledged commit, by pausing replicas or telling the
/// primary to step down and comparing log positions.
class SynchronousTargetSelector
{
public:
    /// @brief Creates an idle selector.
    /// @param scope Service to select a target for.
    /// @param round Sends operations other than pauses; must not be used by another component
    /// during an attempt.
    /// @param candidates Eligible targets.
    /// @param members All members of the service.
    /// @param mayResumeReplicas Returns whether no order or call relies on the pauses any more.
    SynchronousTargetSelector(ServiceScope &scope, OperationRound &round,
                              const PromotionCandidates &candidates, const MemberLog &members,
                              std::function<bool(Instant)> mayResumeReplicas)
        : scope_{scope}
        , round_{round}
        , candidates_{candidates}
        , members_{members}
        , mayResumeReplicas_{std::move(mayResumeReplicas)}
        , pauses_{scope}
    {}

    /// @brief Restores the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now) { pauses_.restore(record, now); }
    void handle(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        pauses_.handle(event, now);
    }

    void handle(const promotion::OperationCompleted &event, Instant now);
    /// @brief Sets the primary that the next attempt replaces.
    /// @param replaced Primary to replace; empty if there is none.
    /// @param confirming Whether `replaced` claims to be primary and is itself the target.
    void setReplaced(const std::string &replaced, bool confirming);
    /// @brief Restricts the next attempt to a target whose call may still be executed. Its
    /// execution ends the pauses, which is safe only if no other target is called.
    /// @param target Identifier of the target.
    /// @param term Lowest term of the target as primary; 0 if unknown.
    void restrictTarget(const std::string &target, std::uint64_t term);
    /// @brief Whether the delay after the last failed attempt is over.
    [[nodiscard]] bool isRetryDue(Instant now);
    /// @brief Starts an attempt.
    /// @param reason Reason for the promotion, written to the log.
    /// @param now Current time.
    /// @return False if there is no candidate.
    bool begin(const std::string &reason, Instant now);
    /// @brief Continues an attempt.
    SelectionState advance(Instant now);
    /// @brief Aborts the attempt; the next one starts after a delay.
    void retryLater(Instant now);
    /// @brief Ends the promotion. Replicas are resumed as soon as that is safe.
    void finish();
    /// @brief Resumes the paused replicas as soon as that is safe.
    void requestRelease(Instant now);
    /// @brief Sends the resumes that are due.
    /// @param idle Whether no promotion is in progress.
    /// @param now Current time.
    void evaluate(bool idle, Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    /// @brief Endpoint that turned out to be primary in the last attempt, in place of the one to
    /// replace; empty if there is none.
    [[nodiscard]] const std::string &otherPrimary() const noexcept { return otherPrimary_; }
    /// @brief Primary that is replaced; it does not count as a replica.
    [[nodiscard]] const std::string &replaced() const noexcept { return replaced_; }
    /// @brief When the pending operations time out.
    [[nodiscard]] Instant stepDeadline() const noexcept { return stepDeadline_; }
    [[nodiscard]] bool isConfirming() const noexcept { return confirming_; }
    /// @brief Whether the call for the target turned out to be executed already.
    [[nodiscard]] bool wasExecuted() const noexcept { return executed_; }
    /// @brief Lowest term of the target as primary after the promotion; 0 if unknown.
    [[nodiscard]] std::uint64_t promotedTerm() const noexcept { return promotedTerm_; }
    /// @brief Compares the target with the other replicas once more. Required after the use of the
    /// former primary has ended; advance() continues it.
    void beginVerification(Instant now);
    /// @brief Whether the target was found to hold every commit after the use of the former primary
    /// had ended. A replica that restarts later makes no difference.
    [[nodiscard]] bool isVerified() const;
    /// @brief Accepts a target that has proven to be the primary. No pause is needed.
    void acceptPresentPrimary(const std::string &target);
    /// @brief Whether the target is the primary already, or claims to be.
    [[nodiscard]] bool isPresentPrimary() const noexcept
    {
        return confirming_ || executed_ || presentPrimary_;
    }
    /// @brief Whether the target still holds every acknowledged commit.
    [[nodiscard]] bool targetHoldsAllCommits() const;

private:
    enum class Step : std::uint8_t {
        Idle,
        QueryingTerm, ///< All members are queried for their term, which the pause must exceed.
        PausingReplicas,
        StoppingPrimary,       ///< A target was selected; the primary is told to step down.
        AwaitingStepDown,      ///< Too few replicas are paused; the primary is told to step down.
        QueryingFinalPosition, ///< Candidates are queried for its final position.
        VerifyingTarget,       ///< All members are queried for their positions.
    };

    /// @brief Primary that has stepped down, and the end of its log.
    struct SteppedDown
    {
        std::string endpoint;
        std::uint64_t bornMs = 0;
        LogPosition final;
    };

    /// @brief Target of an earlier call, which rules out any other target.
    struct RequiredTarget
    {
        std::string endpoint;
        std::uint64_t term = 0;
    };

    SelectionState startRound(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                              Duration timeout, Instant now,
                              EndpointOperation operation = EndpointOperation::Status);
    SelectionState sendPauses(Instant now);
    SelectionState advancePause(bool due, Instant now);
    [[nodiscard]] std::optional<std::string> selectPausedReplica(Instant now);
    [[nodiscard]] bool provesExecution(const EndpointStatusRow *row) const;
    /// @brief Whether enough paused replicas have received no more than `position`.
    [[nodiscard]] bool hasEnoughPauses(LogPosition position) const;
    void sweepIfDue(bool idle, Instant now);
    SelectionState stopPrimary(const std::string &target, Instant now);
    SelectionState finishStepDown(Instant now);
    SelectionState finishFinalPositionQuery(Instant now);
    SelectionState finishVerification(Instant now);
    [[nodiscard]] bool holdsAllCommits(const EndpointStatusRow &target) const;
    SelectionState completeWith(const std::string &target);
    SelectionState fail(Instant now);
    void releaseIfSafe(Instant now);
    /// @brief Number of replicas to pause so that no commit can be acknowledged without one of
    /// them.
    [[nodiscard]] std::size_t requiredPauseCount() const;
    [[nodiscard]] bool isFinalPositionValid() const;

    ServiceScope &scope_;
    OperationRound &round_;
    const PromotionCandidates &candidates_;
    const MemberLog &members_;
    std::function<bool(Instant)> mayResumeReplicas_;
    ReplicaPauses pauses_;
    Step step_ = Step::Idle;
    Instant stepDeadline_{};
    std::string replaced_{};
    std::string target_{};
    std::string otherPrimary_{};
    bool confirming_ = false;
    std::optional<RequiredTarget> requiredTarget_{};
    bool executed_ = false;
    bool presentPrimary_ = false;                   ///< Set by acceptPresentPrimary().
    std::optional<std::uint64_t> verifiedBornMs_{}; ///< Incarnation of the verified target.
    LogPosition targetPosition_{};
    std::uint64_t promotedTerm_ = 0;
    int rounds_ = 0;
    std::optional<std::uint64_t> highestTerm_{}; ///< Highest term of all status rows.
    std::uint64_t pauseTerm_ = 0;
    bool pauseRepeated_ = false; ///< The first pause of this attempt had too low a term.
    bool releaseRequested_ = false;
    int sweepCount_ = 0; ///< Queries for pauses of earlier leaders so far.
    Instant lastSweepAt_{};
    Instant retryAt_{};
    std::string reason_{};
    std::optional<SteppedDown> steppedDown_{};
    bool chosenByFinalPosition_ = false; ///< The target has reached the final position.
    bool queryFinalPositionNext_ = false;
};

} // namespace hyssoprock::internal
