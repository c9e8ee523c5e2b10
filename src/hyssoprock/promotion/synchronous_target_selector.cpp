#include <hyssoprock/promotion/synchronous_target_selector.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock::internal {

namespace {

using std::chrono::milliseconds;

constexpr Duration pauseTimeout = milliseconds{400};
constexpr Duration pauseRetry = milliseconds{300};
/// Queries of one attempt while no replica holds the final position.
constexpr int finalRounds = 3;
/// Pauses of earlier leaders are looked for when a new one has heard the endpoints, and when the
/// last of those pauses must have been carried out.
constexpr Duration lateSweep = lateOrder + std::chrono::seconds{1};
constexpr Duration sweepInterval = std::chrono::seconds{1};

} // namespace

void PausedChoice::take(const promotion::OperationCompleted &event, Instant now)
{
    if (const auto *const endpoint = scope_.find(event.endpoint);
        event.row && endpoint != nullptr && endpoint->record.service == scope_.service()) {
        highestTerm_ = std::max(highestTerm_.value_or(0), event.row->term);
        if (event.row->role == EndpointRole::Primary) {
            steppedDown_.reset();
        }
    }
    pauses_.take(event, now);
}

void PausedChoice::aim(const std::string &replaced, bool confirms)
{
    replaced_ = replaced;
    confirms_ = confirms;
    only_.reset();
    executed_ = false;
}

void PausedChoice::restrict(const std::string &target, std::uint64_t term)
{
    only_ = OpenTarget{target, term};
}

bool PausedChoice::retryDue(Instant now)
{
    if (now < retryAt_) {
        scope_.wakeAt(retryAt_);
        return false;
    }
    return true;
}

bool PausedChoice::begin(const std::string &reason, Instant now)
{
    if (!only_ && replaced_.empty() && finalPositionHolds()) {
        // Nobody was promoted since, so it does not count as a replica.
        replaced_ = steppedDown_->endpoint;
    }
    const auto endpoints = candidates_.list(replaced_, now);
    if (endpoints.empty() && !confirms_ && !only_) {
        requestRelease(now);
        scope_.wakeAt(now + candidateInterval);
        return false;
    }
    if (reason != reason_) {
        reason_ = reason;
        scope_.log("chooses a primary: " + reason);
    }
    pausedAgain_ = false;
    // If no replica can reach the final position, enough of them may answer a pause by now.
    finalQueryNext_ = !finalQueryNext_;
    if (!only_ && !confirms_ && finalPositionHolds() && finalQueryNext_) {
        rounds_ = 1;
        query(Step::QueryingFinal, endpoints, statusTimeout, now);
    } else if (only_ || !highestTerm_) {
        // If the call for the only target was executed, nobody needs to be paused.
        query(Step::QueryingTerm, scope_.members(), statusTimeout, now);
    } else {
        sendPauses(now);
    }
    return true;
}

ChoiceState PausedChoice::advance(Instant now)
{
    const bool due = now >= stepDeadline_;
    if (step_ == Step::Pausing) {
        return advancePause(due, now);
    }
    if (step_ == Step::Idle) {
        return ChoiceState::Idle;
    }
    if (!due && !round_.complete()) {
        return ChoiceState::Waiting;
    }
    if (step_ == Step::Stopping) {
        return choose(target_);
    }
    if (step_ == Step::SteppingDown) {
        return finishStepDown(now);
    }
    if (step_ == Step::QueryingFinal) {
        return finishFinalQuery(now);
    }
    if (only_ && showsExecution(round_.row(only_->endpoint))) {
        executed_ = true;
        return choose(only_->endpoint);
    }
    return highestTerm_ ? sendPauses(now) : fail(now);
}

ChoiceState PausedChoice::query(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                                Duration timeout, Instant now, EndpointOperation order)
{
    step_ = step;
    stepDeadline_ = now + timeout;
    round_.send(endpoints, order, order == EndpointOperation::Status ? 0 : pauseTerm_);
    return ChoiceState::Waiting;
}

ChoiceState PausedChoice::sendPauses(Instant now)
{
    releaseWanted_ = false;
    pauseTerm_ = *highestTerm_ + 1;
    auto replicas = scope_.members();
    std::erase_if(replicas, [this](const auto *member) { return member->record.id == replaced_; });
    pauses_.pause(replicas, pauseTerm_, now);
    std::vector<const KnownEndpoint *> others;
    if (const auto *const endpoint = scope_.find(replaced_)) {
        others.push_back(endpoint);
    }
    return query(Step::Pausing, others, pauseTimeout, now);
}

ChoiceState PausedChoice::advancePause(bool due, Instant now)
{
    if (only_ && showsExecution(pauses_.answer(only_->endpoint))) {
        executed_ = true;
        return choose(only_->endpoint);
    }
    if (pauses_.primaryAnswered()) {
        // The endpoint that is to be replaced is not the primary.
        return fail(now);
    }
    const bool enough = pauses_.paused(replaced_).size() >= requiredPauses();
    const bool complete = pauses_.complete() && round_.complete();
    const auto patienceEnd = stepDeadline_ - pauseTimeout + statusTimeout;
    if (enough && !complete && now < patienceEnd) {
        // With more paused replicas than required, or a primary that can be stopped, the restart of
        // a replica during the call does no harm.
        scope_.wakeAt(patienceEnd);
        return ChoiceState::Waiting;
    }
    if (enough) {
        byFinalPosition_ = false;
        if (const auto target = choosePaused(now)) {
            return stopPrimary(*target, now);
        }
    }
    if (!due && !complete) {
        return ChoiceState::Waiting;
    }
    if (!enough && *highestTerm_ >= pauseTerm_ && !pausedAgain_) {
        pausedAgain_ = true;
        return sendPauses(now);
    }
    const auto *const row = round_.row(replaced_);
    if (const auto *const endpoint = scope_.find(replaced_);
        !enough && !confirms_ && !only_ && endpoint != nullptr && row != nullptr
        && row->role == EndpointRole::Primary && row->term >= *highestTerm_) {
        scope_.log("too few replicas can be paused; tells " + replaced_ + " to step down");
        requestRelease(now);
        return query(Step::SteppingDown, {endpoint}, pauseTimeout, now,
                     EndpointOperation::StepDown);
    }
    return fail(now);
}

std::optional<std::string> PausedChoice::choosePaused(Instant now)
{
    const auto rows = pauses_.paused(replaced_);
    LogPosition best;
    for (const auto &[id, row] : rows) {
        best = std::max(best, row.received);
    }
    if (confirms_) {
        if (round_.pending(replaced_)) {
            return std::nullopt;
        }
        if (const auto *const row = round_.row(replaced_);
            row != nullptr && row->role == EndpointRole::Primary && row->received >= best) {
            targetPosition_ = row->received;
            return replaced_;
        }
    }
    if (only_) {
        const auto row = rows.find(only_->endpoint);
        const auto *const endpoint = scope_.find(only_->endpoint);
        if (row == rows.end() || !backed(row->second.received) || endpoint == nullptr
            || endpoint->record.phase != EndpointPhase::Ready) {
            return std::nullopt;
        }
        targetPosition_ = row->second.received;
        return only_->endpoint;
    }
    targetPosition_ = best;
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows) {
        // A draining replica is never eligible. While only such a one has the best position, the
        // others have to be resumed to reach it.
        const auto *const endpoint = scope_.find(id);
        if (row.received == best && endpoint != nullptr && candidates_.eligible(*endpoint, now)
            && (found == nullptr || found->lastHeartbeatAt < endpoint->lastHeartbeatAt)) {
            found = endpoint;
        }
    }
    return found == nullptr ? std::nullopt : std::optional{found->record.id};
}

bool PausedChoice::showsExecution(const EndpointStatusRow *row) const
{
    // Only the open call can have made it primary of such a term.
    return row != nullptr && row->role == EndpointRole::Primary && only_->term != 0
           && row->term >= only_->term;
}

bool PausedChoice::backed(LogPosition position) const
{
    const auto rows = pauses_.paused(replaced_);
    const auto behind = std::count_if(rows.begin(), rows.end(), [position](const auto &row) {
        return row.second.received <= position;
    });
    return static_cast<std::size_t>(behind) >= requiredPauses();
}

ChoiceState PausedChoice::stopPrimary(const std::string &target, Instant now)
{
    const auto *const row = round_.row(replaced_);
    const auto *const endpoint = scope_.find(replaced_);
    if (confirms_ || only_ || endpoint == nullptr) {
        return choose(target);
    }
    if (row == nullptr || row->role != EndpointRole::Primary) {
        return choose(target);
    }
    // A paused replica that restarts during the call receives again. Without a primary there is
    // nothing to receive and no commit is answered.
    target_ = target;
    return query(Step::Stopping, {endpoint}, statusTimeout, now, EndpointOperation::StepDown);
}

ChoiceState PausedChoice::finishStepDown(Instant now)
{
    const auto *const row = round_.row(replaced_);
    const auto *const endpoint = scope_.find(replaced_);
    // A higher term shows that another primary has been promoted meanwhile.
    if (row == nullptr || endpoint == nullptr || row->role != EndpointRole::Replica
        || row->term > pauseTerm_) {
        return fail(now);
    }
    finalQueryNext_ = true;
    steppedDown_ = SteppedDown{replaced_, endpoint->record.bornMs, row->received};
    rounds_ = 1;
    return query(Step::QueryingFinal, candidates_.list(replaced_, now), statusTimeout, now);
}

ChoiceState PausedChoice::finishFinalQuery(Instant now)
{
    if (!finalPositionHolds()) {
        return fail(now);
    }
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : round_.rows()) {
        const auto *const endpoint = scope_.find(id);
        if (row.received >= steppedDown_->final && endpoint != nullptr && id != replaced_
            && candidates_.eligible(*endpoint, now)) {
            found = endpoint;
        }
    }
    if (found != nullptr) {
        byFinalPosition_ = true;
        return choose(found->record.id);
    }
    if (rounds_ < finalRounds) {
        ++rounds_;
        return query(Step::QueryingFinal, candidates_.list(replaced_, now), statusTimeout, now);
    }
    return fail(now);
}

ChoiceState PausedChoice::choose(const std::string &target)
{
    step_ = Step::Idle;
    target_ = target;
    if (only_) {
        promotedTerm_ = only_->term;
    } else {
        promotedTerm_ = confirms_ || !highestTerm_ ? 0 : *highestTerm_ + 1;
    }
    return ChoiceState::Chosen;
}

ChoiceState PausedChoice::fail(Instant now)
{
    retryLater(now);
    return ChoiceState::Failed;
}

void PausedChoice::retryLater(Instant now)
{
    step_ = Step::Idle;
    confirms_ = false;
    retryAt_ = now + pauseRetry;
    requestRelease(now);
    scope_.wakeAt(retryAt_);
}

void PausedChoice::finish()
{
    confirms_ = false;
    steppedDown_.reset();
    reason_.clear();
    releaseWanted_ = pauses_.holding();
}

void PausedChoice::requestRelease(Instant now)
{
    releaseWanted_ = pauses_.holding();
    releaseIfSafe(now);
}

void PausedChoice::releaseIfSafe(Instant now)
{
    if (releaseWanted_ && mayResume_(now)) {
        releaseWanted_ = false;
        pauses_.release(now);
    }
}

void PausedChoice::evaluate(bool idle, Instant now)
{
    releaseIfSafe(now);
    sweepIfDue(idle, now);
    pauses_.evaluate(now);
    if (const auto due = pauses_.deadline()) {
        scope_.wakeAt(*due);
    }
}

void PausedChoice::sweepIfDue(bool idle, Instant now)
{
    if (scope_.synchronous() == 0 || (sweeps_ > 1 && !pauses_.sweepIncomplete())) {
        return;
    }
    const auto due = sweeps_ == 0   ? scope_.leadershipGraceEnd()
                     : sweeps_ == 1 ? scope_.context().leaderSince + lateSweep
                                    : sweepAt_ + sweepInterval;
    if (now < due) {
        scope_.wakeAt(due);
    } else if (idle && !pauses_.holding() && mayResume_(now)) {
        ++sweeps_;
        sweepAt_ = now;
        pauses_.sweep();
        scope_.wakeAt(now + sweepInterval);
    }
}

std::size_t PausedChoice::requiredPauses() const
{
    const auto members = scope_.members();
    const auto replicas = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [this](const auto *member) { return member->record.id != replaced_; }));
    const auto synchronous = scope_.synchronous();
    return replicas > synchronous ? replicas - synchronous + 1 : 1;
}

bool PausedChoice::finalPositionHolds() const
{
    // A primary that restarts leads on.
    const auto *const endpoint = steppedDown_ ? scope_.find(steppedDown_->endpoint) : nullptr;
    return endpoint != nullptr && endpoint->record.bornMs == steppedDown_->bornMs;
}

bool PausedChoice::holdsAllCommits() const
{
    return executed_ || (byFinalPosition_ && finalPositionHolds()) || backed(targetPosition_);
}

} // namespace hyssoprock::internal
