#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/replica_pauses.hpp>
#include <hyssoprock/promotion/selection_state.hpp>
#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Choice of a target that holds every answered commit, where replicas are synchronous.

namespace hyssoprock::internal {

/// @brief Pauses replicas, or tells the primary to step down, and chooses a target by their
/// positions.
class PausedChoice
{
public:
    /// @brief Nothing is paused.
    /// @param scope Service.
    /// @param round For orders other than pauses; no other part uses it during an attempt.
    /// @param candidates Possible targets.
    /// @param mayResume Whether no order or call relies on the pause any more.
    PausedChoice(ServiceScope &scope, StatusRound &round, const PromotionCandidates &candidates,
                 std::function<bool(Instant)> mayResume)
        : scope_{scope}
        , round_{round}
        , candidates_{candidates}
        , mayResume_{std::move(mayResume)}
        , pauses_{scope}
    {}

    /// @brief Takes the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now) { pauses_.restore(record, now); }
    void take(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        pauses_.take(event, now);
    }

    void take(const promotion::OperationCompleted &event, Instant now);
    /// @brief Sets whom the next attempt is to replace.
    /// @param replaced Primary that is to be replaced; empty if there is none.
    /// @param confirms `replaced` is primary by its own account and is the target.
    void aim(const std::string &replaced, bool confirms);
    /// @brief Restricts the next attempt to a target whose call may still be executed: its
    /// execution ends the pauses, which is harmless only if nobody else is called.
    /// @param target Identifier of the target.
    /// @param term Lowest term of the target as primary; 0 if unknown.
    void restrict(const std::string &target, std::uint64_t term);
    /// @brief Whether an attempt may begin so soon after the last one.
    [[nodiscard]] bool retryDue(Instant now);
    /// @brief Begins an attempt.
    /// @param reason For the log.
    /// @param now Present time.
    /// @return Whether it has begun; otherwise nobody can be chosen.
    bool begin(const std::string &reason, Instant now);
    /// @brief Carries on with an attempt.
    ChoiceState advance(Instant now);
    /// @brief Gives up; the next attempt begins after a while.
    void retryLater(Instant now);
    /// @brief The promotion is done; the pause ends when it may.
    void finish();
    /// @brief Ends the pause as soon as it may.
    void requestRelease(Instant now);
    /// @brief Sends the resumes that are due.
    /// @param idle Whether no promotion is in progress.
    /// @param now Present time.
    void evaluate(bool idle, Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    /// @brief Primary that is replaced; it does not count as a replica.
    [[nodiscard]] const std::string &replaced() const noexcept { return replaced_; }
    /// @brief Until when the orders under way may be answered.
    [[nodiscard]] Instant stepDeadline() const noexcept { return stepDeadline_; }
    [[nodiscard]] bool confirms() const noexcept { return confirms_; }
    /// @brief Whether the call for the target was found to have been executed already.
    [[nodiscard]] bool executed() const noexcept { return executed_; }
    /// @brief Lowest term of the target as primary, once it is promoted; 0 if unknown.
    [[nodiscard]] std::uint64_t promotedTerm() const noexcept { return promotedTerm_; }
    /// @brief Whether what the target was chosen on still holds.
    [[nodiscard]] bool holdsAllCommits() const;

private:
    enum class Step : std::uint8_t {
        Idle,
        QueryingTerm,  ///< All are queried for their term, which the pause has to exceed.
        Pausing,       ///< Replicas are paused.
        Stopping,      ///< There is a target; the primary is told to step down.
        SteppingDown,  ///< Too few are paused; the primary is told to step down.
        QueryingFinal, ///< Candidates are queried for the final position of that primary.
    };

    /// @brief Primary that stepped down, and the end of its log.
    struct SteppedDown
    {
        std::string endpoint;
        std::uint64_t bornMs = 0;
        LogPosition final;
    };

    /// @brief Target of an earlier call, if no other one may be chosen.
    struct OpenTarget
    {
        std::string endpoint;
        std::uint64_t term = 0;
    };

    ChoiceState query(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                      Duration timeout, Instant now,
                      EndpointOperation order = EndpointOperation::Status);
    ChoiceState sendPauses(Instant now);
    ChoiceState advancePause(bool due, Instant now);
    [[nodiscard]] std::optional<std::string> choosePaused(Instant now);
    [[nodiscard]] bool showsExecution(const EndpointStatusRow *row) const;
    /// @brief Whether enough replicas are paused that have received no more than a target.
    [[nodiscard]] bool backed(LogPosition position) const;
    void sweepIfDue(bool idle, Instant now);
    ChoiceState stopPrimary(const std::string &target, Instant now);
    ChoiceState finishStepDown(Instant now);
    ChoiceState finishFinalQuery(Instant now);
    ChoiceState choose(const std::string &target);
    ChoiceState fail(Instant now);
    void releaseIfSafe(Instant now);
    /// @brief Replicas that must be paused so that no commit can be answered without one of them.
    [[nodiscard]] std::size_t requiredPauses() const;
    [[nodiscard]] bool finalPositionHolds() const;

    ServiceScope &scope_;
    StatusRound &round_;
    const PromotionCandidates &candidates_;
    std::function<bool(Instant)> mayResume_;
    ReplicaPauses pauses_;
    Step step_ = Step::Idle;
    Instant stepDeadline_{};
    std::string replaced_{};
    std::string target_{};
    bool confirms_ = false;
    std::optional<OpenTarget> only_{};
    bool executed_ = false;
    LogPosition targetPosition_{};
    std::uint64_t promotedTerm_ = 0;
    int rounds_ = 0;
    std::optional<std::uint64_t> highestTerm_{}; ///< Of all status rows.
    std::uint64_t pauseTerm_ = 0;
    bool pausedAgain_ = false; ///< The first pause of this attempt had a term that was too low.
    bool releaseWanted_ = false;
    int sweeps_ = 0; ///< Queries for pauses of earlier leaders.
    Instant sweepAt_{};
    Instant retryAt_{};
    std::string reason_{};
    std::optional<SteppedDown> steppedDown_{};
    bool byFinalPosition_ = false; ///< The target has responded that position.
    bool finalQueryNext_ = false;
};

} // namespace hyssoprock::internal
