#include <hyssoprock/promotion/synchronous_target_selector.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock::internal {

namespace {

using std::chrono::milliseconds;

constexpr Duration pauseTimeout = milliseconds{400};
constexpr Duration attemptRetryDelay = milliseconds{300};
/// Maximum number of query rounds of one attempt while no replica has reached the final position.
constexpr int finalQueryRoundsMax = 3;
/// A new leader searches for pauses of earlier leaders once it has received heartbeats, and again
/// after the last of those pauses must have taken effect.
constexpr Duration lateSweepDelay = unansweredOperationLifetime + std::chrono::seconds{1};
constexpr Duration sweepInterval = std::chrono::seconds{1};

} // namespace

void SynchronousTargetSelector::handle(const promotion::OperationCompleted &event, Instant now)
{
    if (const auto *const endpoint = scope_.find(event.endpoint);
        event.row && endpoint != nullptr && endpoint->record.service == scope_.service()) {
        highestTerm_ = std::max(highestTerm_.value_or(0), event.row->term);
        if (event.row->role == EndpointRole::Primary) {
            steppedDown_.reset();
        }
    }
    pauses_.handle(event, now);
}

void SynchronousTargetSelector::setReplaced(const std::string &replaced, bool confirming)
{
    replaced_ = replaced;
    confirming_ = confirming;
    requiredTarget_.reset();
    executed_ = false;
    presentPrimary_ = false;
    verifiedBornMs_.reset();
}

void SynchronousTargetSelector::restrictTarget(const std::string &target, std::uint64_t term)
{
    requiredTarget_ = RequiredTarget{target, term};
}

bool SynchronousTargetSelector::isRetryDue(Instant now)
{
    if (now < retryAt_) {
        scope_.evaluateBy(retryAt_);
        return false;
    }
    return true;
}

bool SynchronousTargetSelector::begin(const std::string &reason, Instant now)
{
    if (!requiredTarget_ && replaced_.empty()) {
        // No promotion has happened since, so the former primary does not count as a replica.
        replaced_ = isFinalPositionValid() ? steppedDown_->endpoint : members_.recordedPrimary();
    }
    const auto endpoints = candidates_.list(replaced_, now);
    if (endpoints.empty() && !confirming_ && !requiredTarget_) {
        requestRelease(now);
        scope_.evaluateBy(now + candidateRetryDelay);
        return false;
    }
    if (reason != reason_) {
        reason_ = reason;
        scope_.log("chooses a primary: " + reason);
    }
    pauseRepeated_ = false;
    otherPrimary_.clear();
    // If no replica can reach the final position, enough of them may answer a pause by now.
    queryFinalPositionNext_ = !queryFinalPositionNext_;
    if (!requiredTarget_ && !confirming_ && isFinalPositionValid() && queryFinalPositionNext_) {
        rounds_ = 1;
        startRound(Step::QueryingFinalPosition, endpoints, statusTimeout, now);
    } else if (requiredTarget_ || !highestTerm_) {
        // If the call for the required target was executed, no pause is needed.
        startRound(Step::QueryingTerm, scope_.members(), statusTimeout, now);
    } else {
        sendPauses(now);
    }
    return true;
}

SelectionState SynchronousTargetSelector::advance(Instant now)
{
    const bool due = now >= stepDeadline_;
    if (step_ == Step::PausingReplicas) {
        return advancePause(due, now);
    }
    if (step_ == Step::Idle) {
        return SelectionState::Idle;
    }
    if (!due && !round_.isComplete()) {
        return SelectionState::Waiting;
    }
    if (step_ == Step::StoppingPrimary) {
        return completeWith(target_);
    }
    if (step_ == Step::AwaitingStepDown) {
        return finishStepDown(now);
    }
    if (step_ == Step::QueryingFinalPosition) {
        return finishFinalPositionQuery(now);
    }
    if (step_ == Step::VerifyingTarget) {
        return finishVerification(now);
    }
    if (requiredTarget_ && provesExecution(round_.row(requiredTarget_->endpoint))) {
        executed_ = true;
        return completeWith(requiredTarget_->endpoint);
    }
    return highestTerm_ ? sendPauses(now) : fail(now);
}

SelectionState
SynchronousTargetSelector::startRound(Step step,
                                      const std::vector<const KnownEndpoint *> &endpoints,
                                      Duration timeout, Instant now, EndpointOperation operation)
{
    step_ = step;
    stepDeadline_ = now + timeout;
    round_.send(endpoints, operation, operation == EndpointOperation::Status ? 0 : pauseTerm_);
    return SelectionState::Waiting;
}

SelectionState SynchronousTargetSelector::sendPauses(Instant now)
{
    releaseRequested_ = false;
    pauseTerm_ = *highestTerm_ + 1;
    auto replicas = scope_.members();
    std::erase_if(replicas, [this](const auto *member) { return member->record.id == replaced_; });
    pauses_.pause(replicas, pauseTerm_, now);
    std::vector<const KnownEndpoint *> others;
    if (const auto *const endpoint = scope_.find(replaced_)) {
        others.push_back(endpoint);
    }
    return startRound(Step::PausingReplicas, others, pauseTimeout, now);
}

SelectionState SynchronousTargetSelector::advancePause(bool due, Instant now)
{
    if (requiredTarget_ && provesExecution(pauses_.pauseResponse(requiredTarget_->endpoint))) {
        executed_ = true;
        return completeWith(requiredTarget_->endpoint);
    }
    otherPrimary_ = pauses_.primaryResponder();
    if (!otherPrimary_.empty()) {
        // The endpoint to be replaced is not the primary.
        return fail(now);
    }
    const bool enough = pauses_.pausedReplicas(replaced_).size() >= requiredPauseCount();
    const bool complete = pauses_.isComplete() && round_.isComplete();
    const auto pauseWaitUntil = stepDeadline_ - pauseTimeout + statusTimeout;
    if (enough && !complete && now < pauseWaitUntil) {
        // With more paused replicas than required, or a primary that can be stopped, the restart of
        // a replica during the call is harmless.
        scope_.evaluateBy(pauseWaitUntil);
        return SelectionState::Waiting;
    }
    if (enough) {
        chosenByFinalPosition_ = false;
        if (const auto target = selectPausedReplica(now)) {
            return stopPrimary(*target, now);
        }
    }
    if (!due && !complete) {
        return SelectionState::Waiting;
    }
    if (!enough && *highestTerm_ >= pauseTerm_ && !pauseRepeated_) {
        pauseRepeated_ = true;
        return sendPauses(now);
    }
    const auto *const row = round_.row(replaced_);
    if (const auto *const endpoint = scope_.find(replaced_);
        !enough && !confirming_ && !requiredTarget_ && endpoint != nullptr && row != nullptr
        && row->role == EndpointRole::Primary && row->term >= *highestTerm_) {
        scope_.log("too few replicas can be paused; telling " + replaced_ + " to step down");
        requestRelease(now);
        return startRound(Step::AwaitingStepDown, {endpoint}, pauseTimeout, now,
                          EndpointOperation::StepDown);
    }
    return fail(now);
}

std::optional<std::string> SynchronousTargetSelector::selectPausedReplica(Instant now)
{
    const auto rows = pauses_.pausedReplicas(replaced_);
    LogPosition best;
    for (const auto &[id, row] : rows) {
        best = std::max(best, row.received);
    }
    if (confirming_) {
        if (round_.isPending(replaced_)) {
            return std::nullopt;
        }
        if (const auto *const row = round_.row(replaced_);
            row != nullptr && row->role == EndpointRole::Primary && row->received >= best) {
            targetPosition_ = row->received;
            return replaced_;
        }
    }
    if (requiredTarget_) {
        const auto row = rows.find(requiredTarget_->endpoint);
        const auto *const endpoint = scope_.find(requiredTarget_->endpoint);
        if (row == rows.end() || !hasEnoughPauses(row->second.received) || endpoint == nullptr
            || endpoint->record.phase != EndpointPhase::Ready) {
            return std::nullopt;
        }
        targetPosition_ = row->second.received;
        return requiredTarget_->endpoint;
    }
    targetPosition_ = best;
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows) {
        // A draining replica is never eligible. If only such a replica has the highest position,
        // the others must be resumed to reach it.
        const auto *const endpoint = scope_.find(id);
        if (row.received == best && endpoint != nullptr && candidates_.isEligible(*endpoint, now)
            && (found == nullptr || found->lastHeartbeatAt < endpoint->lastHeartbeatAt)) {
            found = endpoint;
        }
    }
    return found == nullptr ? std::nullopt : std::optional{found->record.id};
}

bool SynchronousTargetSelector::provesExecution(const EndpointStatusRow *row) const
{
    // Only the open call can have made the endpoint primary in such a term.
    return row != nullptr && row->role == EndpointRole::Primary && requiredTarget_->term != 0
           && row->term >= requiredTarget_->term;
}

bool SynchronousTargetSelector::hasEnoughPauses(LogPosition position) const
{
    const auto rows = pauses_.pausedReplicas(replaced_);
    const auto behind = std::count_if(rows.begin(), rows.end(), [position](const auto &row) {
        return row.second.received <= position;
    });
    return static_cast<std::size_t>(behind) >= requiredPauseCount();
}

SelectionState SynchronousTargetSelector::stopPrimary(const std::string &target, Instant now)
{
    const auto *const row = round_.row(replaced_);
    const auto *const endpoint = scope_.find(replaced_);
    if (confirming_ || requiredTarget_ || endpoint == nullptr) {
        return completeWith(target);
    }
    if (row == nullptr || row->role != EndpointRole::Primary) {
        return completeWith(target);
    }
    // A paused replica that restarts during the call receives entries again. Without a primary
    // there is nothing to receive and no commit is acknowledged.
    target_ = target;
    return startRound(Step::StoppingPrimary, {endpoint}, statusTimeout, now,
                      EndpointOperation::StepDown);
}

SelectionState SynchronousTargetSelector::finishStepDown(Instant now)
{
    const auto *const row = round_.row(replaced_);
    const auto *const endpoint = scope_.find(replaced_);
    // A higher term shows that another primary was promoted meanwhile.
    if (row == nullptr || endpoint == nullptr || row->role != EndpointRole::Replica
        || row->term > pauseTerm_) {
        return fail(now);
    }
    queryFinalPositionNext_ = true;
    steppedDown_ = SteppedDown{replaced_, endpoint->record.bornMs, row->received};
    rounds_ = 1;
    return startRound(Step::QueryingFinalPosition, candidates_.list(replaced_, now), statusTimeout,
                      now);
}

SelectionState SynchronousTargetSelector::finishFinalPositionQuery(Instant now)
{
    if (!isFinalPositionValid()) {
        return fail(now);
    }
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : round_.rows()) {
        const auto *const endpoint = scope_.find(id);
        if (row.received >= steppedDown_->final && endpoint != nullptr && id != replaced_
            && candidates_.isEligible(*endpoint, now)) {
            found = endpoint;
        }
    }
    if (found != nullptr) {
        chosenByFinalPosition_ = true;
        return completeWith(found->record.id);
    }
    if (rounds_ < finalQueryRoundsMax) {
        ++rounds_;
        return startRound(Step::QueryingFinalPosition, candidates_.list(replaced_, now),
                          statusTimeout, now);
    }
    return fail(now);
}

void SynchronousTargetSelector::beginVerification(Instant now)
{
    rounds_ = 1;
    (void)startRound(Step::VerifyingTarget, scope_.members(), statusTimeout, now);
}

SelectionState SynchronousTargetSelector::finishVerification(Instant now)
{
    const auto *const row = round_.row(target_);
    const auto *const endpoint = scope_.find(target_);
    if (row != nullptr && endpoint != nullptr && holdsAllCommits(*row)) {
        step_ = Step::Idle;
        verifiedBornMs_ = endpoint->record.bornMs;
        return SelectionState::Chosen;
    }
    if (rounds_ < finalQueryRoundsMax && !round_.isComplete()) {
        ++rounds_;
        return startRound(Step::VerifyingTarget, scope_.members(), statusTimeout, now);
    }
    step_ = Step::Idle;
    scope_.log(target_ + " is not known to hold every acknowledged commit");
    return SelectionState::Failed;
}

bool SynchronousTargetSelector::holdsAllCommits(const EndpointStatusRow &target) const
{
    const auto &rows = round_.rows();
    const auto behind = std::count_if(rows.begin(), rows.end(), [&](const auto &row) {
        return row.first != replaced_ && row.second.role == EndpointRole::Replica
               && row.second.received <= target.received;
    });
    if (static_cast<std::size_t>(behind) >= requiredPauseCount()) {
        return true;
    }
    return chosenByFinalPosition_ && isFinalPositionValid()
           && std::all_of(rows.begin(), rows.end(),
                          [&](const auto &row) { return row.second.received <= target.received; });
}

bool SynchronousTargetSelector::isVerified() const
{
    const auto *const endpoint = scope_.find(target_);
    return verifiedBornMs_ && endpoint != nullptr && endpoint->record.bornMs == *verifiedBornMs_;
}

void SynchronousTargetSelector::acceptPresentPrimary(const std::string &target)
{
    setReplaced(target, false);
    step_ = Step::Idle;
    target_ = target;
    promotedTerm_ = 0;
    presentPrimary_ = true;
}

SelectionState SynchronousTargetSelector::completeWith(const std::string &target)
{
    step_ = Step::Idle;
    target_ = target;
    if (requiredTarget_) {
        promotedTerm_ = requiredTarget_->term;
    } else {
        promotedTerm_ = confirming_ || !highestTerm_ ? 0 : *highestTerm_ + 1;
    }
    return SelectionState::Chosen;
}

SelectionState SynchronousTargetSelector::fail(Instant now)
{
    retryLater(now);
    return SelectionState::Failed;
}

void SynchronousTargetSelector::retryLater(Instant now)
{
    step_ = Step::Idle;
    confirming_ = false;
    retryAt_ = now + attemptRetryDelay;
    requestRelease(now);
    scope_.evaluateBy(retryAt_);
}

void SynchronousTargetSelector::finish()
{
    confirming_ = false;
    steppedDown_.reset();
    reason_.clear();
    releaseRequested_ = pauses_.isRoundActive();
}

void SynchronousTargetSelector::requestRelease(Instant now)
{
    releaseRequested_ = pauses_.isRoundActive();
    releaseIfSafe(now);
}

void SynchronousTargetSelector::releaseIfSafe(Instant now)
{
    if (releaseRequested_ && mayResumeReplicas_(now)) {
        releaseRequested_ = false;
        pauses_.release(now);
    }
}

void SynchronousTargetSelector::evaluate(bool idle, Instant now)
{
    releaseIfSafe(now);
    sweepIfDue(idle, now);
    pauses_.evaluate(now);
    if (const auto due = pauses_.nextDeadline()) {
        scope_.evaluateBy(*due);
    }
}

void SynchronousTargetSelector::sweepIfDue(bool idle, Instant now)
{
    if (scope_.synchronousReplicas() == 0 || (sweepCount_ > 1 && !pauses_.isSweepIncomplete())) {
        return;
    }
    const auto due = sweepCount_ == 0   ? scope_.leadershipGraceEndsAt()
                     : sweepCount_ == 1 ? scope_.controller().leaderSince + lateSweepDelay
                                        : lastSweepAt_ + sweepInterval;
    if (now < due) {
        scope_.evaluateBy(due);
    } else if (idle && !pauses_.isRoundActive() && mayResumeReplicas_(now)) {
        ++sweepCount_;
        lastSweepAt_ = now;
        pauses_.sweep();
        scope_.evaluateBy(now + sweepInterval);
    }
}

std::size_t SynchronousTargetSelector::requiredPauseCount() const
{
    const auto replicas = members_.replicaCount(replaced_);
    const auto synchronousReplicas = scope_.synchronousReplicas();
    return replicas > synchronousReplicas ? replicas - synchronousReplicas + 1 : 1;
}

bool SynchronousTargetSelector::isFinalPositionValid() const
{
    // A former primary that restarts acts as primary again, so its final position no longer holds.
    const auto *const endpoint = steppedDown_ ? scope_.find(steppedDown_->endpoint) : nullptr;
    return endpoint != nullptr && endpoint->record.bornMs == steppedDown_->bornMs;
}

bool SynchronousTargetSelector::targetHoldsAllCommits() const
{
    return executed_ || presentPrimary_ || isVerified()
           || (chosenByFinalPosition_ && isFinalPositionValid())
           || hasEnoughPauses(targetPosition_);
}

} // namespace hyssoprock::internal
