#include <hyssoprock/promotion/service_promotion.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock::internal {

namespace {

using std::chrono::milliseconds;

constexpr Duration roleQueryTimeout = milliseconds{300};
constexpr Duration callTimeout = milliseconds{600};
constexpr Duration callRetryDelay = milliseconds{100};
constexpr Duration exclusionLifetime = std::chrono::seconds{2};

} // namespace

void ServicePromotion::restore(const PromotionRecord &record, Instant unsettledSince, Instant now)
{
    tracker_.restore(record, now);
    if (!record.settled) {
        withdrawal_.restore(record.endpoint, unsettledSince);
        // The call of the earlier leader may still be executed. A call with a higher token prevents
        // that.
        scope_.log("retrying unsettled order " + std::to_string(record.token) + " for "
                   + record.endpoint);
        order_.restore(record, now);
        hasRestoredOrder_ = true;
        if (scope_.synchronousReplicas() == 0) {
            scheduleOrderRetry(scope_.isFenced() ? now : now + callTimeout);
        }
    }
}

void ServicePromotion::restore(const TermStartsRecord &record)
{
    candidates_.restore(record.known);
    // The order is not settled, so its target may already be primary.
    candidates_.recordTermStart(record.proposed);
    proposedStart_ = record.proposed;
}

void ServicePromotion::handle(const promotion::OperationCompleted &event, Instant now)
{
    synchronousSelector_.handle(event, now);
    withdrawal_.handle(event);
    round_.handle(event);
}

void ServicePromotion::handle(const promotion::OrderProposalCompleted &event, Instant now)
{
    if (step_ != Step::CommittingOrder || !order_.isAwaiting(event)) {
        return;
    }
    if (!event.token) {
        scheduleOrderRetry(now + proposalRetryDelay);
        return;
    }
    order_.handleCommit(*event.token);
    if (order_.wasAcceptedEarly()) {
        acceptPromotion(now);
        return;
    }
    if (!rules_.mayCallTarget(now) || !rules_.targetHoldsAllCommits()) {
        abandonOrder(now);
        return;
    }
    if (!scope_.requiresWithdrawal()) {
        callPlatform(now);
        return;
    }
    step_ = Step::WithdrawingPrimary;
    withdrawal_.begin(order_.token(), order_.target(), round_.rows(), now);
    advanceWithdrawal(now);
}

void ServicePromotion::advanceWithdrawal(Instant now)
{
    const auto executed =
        scope_.synchronousReplicas() > 0 && scope_.isFenced() && synchronousSelector_.wasExecuted();
    if (executed || withdrawal_.isComplete(order_.target(), now)) {
        if (needsVerification()) {
            step_ = Step::VerifyingTarget;
            synchronousSelector_.beginVerification(now);
        } else {
            callPlatform(now);
        }
    } else if (!rules_.mayCallTarget(now) || !rules_.targetHoldsAllCommits()) {
        abandonOrder(now);
    } else {
        withdrawal_.evaluate(now);
    }
}

bool ServicePromotion::needsVerification() const
{
    // Until the withdrawal was complete, a paused replica that restarted could receive a commit
    // that the target lacks.
    return scope_.synchronousReplicas() > 0 && !synchronousSelector_.isPresentPrimary()
           && !synchronousSelector_.isVerified();
}

void ServicePromotion::advanceVerification(Instant now)
{
    switch (synchronousSelector_.advance(now)) {
    case SelectionState::Waiting:
        return;
    case SelectionState::Chosen:
        if (rules_.mayCallTarget(now)) {
            callPlatform(now);
            return;
        }
        break;
    case SelectionState::Idle:
    case SelectionState::Failed:
        break;
    }
    abandonOrder(now);
}

void ServicePromotion::abandonOrder(Instant now)
{
    order_.abandon(now);
    restartPromotion(order_.target() + " can no longer be promoted", now);
}

void ServicePromotion::callPlatform(Instant now)
{
    step_ = Step::CallingPlatform;
    stepDeadline_ = now + callTimeout;
    withdrawal_.handleCall(order_.target());
    order_.sendCall(now);
}

void ServicePromotion::handle(const promotion::CallCompleted &event, Instant now)
{
    switch (order_.handle(event, step_ == Step::CallingPlatform, now)) {
    case CallEffect::None:
        return;
    case CallEffect::Promoted:
        if (step_ == Step::CommittingOrder) {
            order_.recordEarlyAcceptance();
        } else if (step_ == Step::CallingPlatform || step_ == Step::WaitingToRetry) {
            acceptPromotion(now);
        }
        return;
    case CallEffect::Refused:
        candidates_.exclude(order_.target(), now + exclusionLifetime);
        order_.abandon(now);
        restartPromotion(order_.target() + " was refused by the platform", now);
        hasRestoredOrder_ = false;
        return;
    case CallEffect::Retry:
        // A broken connection fails immediately. The delay keeps the repeated orders from filling
        // the log.
        scheduleOrderRetry(now + callRetryDelay);
        return;
    }
}

void ServicePromotion::evaluate(Instant now)
{
    scope_.clearDeadline();
    candidates_.expireExclusions(now);
    order_.evaluate(now);
    advanceStep(now);
    evaluateIdle(now);
    synchronousSelector_.evaluate(step_ == Step::Idle, now);
    if (step_ == Step::VerifyingTarget) {
        scope_.evaluateBy(synchronousSelector_.stepDeadline());
    } else if (step_ == Step::SelectingTarget) {
        scope_.evaluateBy(usesSynchronousSelector_ ? synchronousSelector_.stepDeadline()
                                                   : asynchronousSelector_.stepDeadline());
    } else if (step_ != Step::Idle && step_ != Step::CommittingOrder
               && step_ != Step::WithdrawingPrimary) {
        scope_.evaluateBy(stepDeadline_);
    }
    if (const auto at = order_.settlementRetryAt()) {
        scope_.evaluateBy(*at);
    }
}

void ServicePromotion::evaluateIdle(Instant now)
{
    const auto *const endpoint = tracker_.primary(now);
    const auto isProven = step_ == Step::Idle && endpoint != nullptr && !endpoint->expired
                          && endpoint->record.role == EndpointRole::Primary
                          && tracker_.isAnnounced(endpoint->record.id);
    members_.update(isProven ? endpoint : nullptr, now);
    if (step_ != Step::Idle) {
        return;
    }
    if (hasRestoredOrder_) {
        retryRestoredOrder(now);
    }
    if (step_ != Step::Idle) {
        return;
    }
    if (endpoint == nullptr) {
        evaluateMissingPrimary(now);
        return;
    }
    if (const auto &id = endpoint->record.id; !tracker_.isAnnounced(id)) {
        if (tracker_.canAnnounceClaim() && mayAnnounceClaim(id, now)) {
            tracker_.announceClaim(id);
        } else if (candidates_.isEligible(*endpoint, now)) {
            // No epoch is left below that of the next token. A call for an endpoint that already is
            // primary changes nothing at the platform and yields a token.
            confirmPrimary(id, now);
        }
    }
    if (step_ == Step::Idle) {
        evaluatePrimary(*endpoint, now);
    }
}

bool ServicePromotion::mayAnnounceClaim(const std::string &endpoint, Instant now)
{
    const auto until = scope_.isFenced() ? std::nullopt : order_.conflictsUntil(endpoint, now);
    if (until) {
        scope_.evaluateBy(*until);
    }
    return !until;
}

void ServicePromotion::retryRestoredOrder(Instant now)
{
    if (scope_.synchronousReplicas() == 0) {
        scheduleOrderRetry(now);
    } else if (order_.callsExpireAt(now)) {
        beginSynchronousSelection("order " + std::to_string(order_.token()) + " for "
                                      + order_.target() + " is not settled",
                                  false, now);
    } else {
        hasRestoredOrder_ = false;
        order_.abandon(now);
    }
}

void ServicePromotion::evaluatePrimary(const KnownEndpoint &primary, Instant now)
{
    if (primary.record.phase == EndpointPhase::Draining) {
        planned_ = true;
        beginPromotion(primary.record.id + " is draining", &primary, now);
        if (step_ != Step::Idle) {
            return;
        }
    }
    planned_ = false;
    const auto assessment = evidence_.evaluate(primary, tracker_.stableUntil(), now);
    switch (assessment.decision) {
    case PrimaryDecision::Keep:
        return;
    case PrimaryDecision::Replace:
        beginPromotion(assessment.reason, &primary, now);
        return;
    case PrimaryDecision::QueryPrimary:
        queryEndpoints(Step::QueryingPrimary, {&primary}, statusTimeout, now);
        return;
    case PrimaryDecision::QueryRoles:
        queryEndpoints(Step::QueryingRoles, scope_.members(), roleQueryTimeout, now);
        return;
    }
}

void ServicePromotion::evaluateMissingPrimary(Instant now)
{
    const auto due = tracker_.missingDeadline();
    if (!due) {
        return;
    }
    if (now < *due) {
        scope_.evaluateBy(*due);
        return;
    }
    planned_ = false;
    beginPromotion("no endpoint is primary", nullptr, now);
}

void ServicePromotion::beginPromotion(const std::string &reason, const KnownEndpoint *replaced,
                                      Instant now)
{
    step_ = Step::Idle;
    order_.beginPromotion();
    replaced_ = replaced == nullptr ? std::string{} : replaced->record.id;
    if (scope_.synchronousReplicas() > 0) {
        beginSynchronousSelection(reason, false, now);
        return;
    }
    usesSynchronousSelector_ = false;
    if (!scope_.isFenced()) {
        if (const auto open = order_.openTarget(now); !open.empty()) {
            repeatOpenCall(open, now);
            return;
        }
    }
    applySelection(asynchronousSelector_.begin(reason, replaced, planned_, now),
                   asynchronousSelector_.target(), now);
}

void ServicePromotion::repeatOpenCall(const std::string &target, Instant now)
{
    // A call for this endpoint may still be executed, and no token would prevent that after the
    // promotion of another one.
    const auto *const endpoint = scope_.find(target);
    if (replaced_ != target && endpoint != nullptr && candidates_.isEligible(*endpoint, now)) {
        proposeOrder(target);
    } else if (const auto until = order_.callsExpireAt(now)) {
        scope_.evaluateBy(*until);
    }
}

void ServicePromotion::restartPromotion(const std::string &reason, Instant now)
{
    if (scope_.synchronousReplicas() > 0
        && (synchronousSelector_.isConfirming() || hasRestoredOrder_)) {
        // The cause of the promotion and the primary to replace may have changed, so both are
        // evaluated again.
        scope_.log(reason);
        retryLater(now);
        return;
    }
    hasRestoredOrder_ = false;
    beginPromotion(reason, replaced_.empty() ? nullptr : scope_.find(replaced_), now);
}

void ServicePromotion::confirmPrimary(const std::string &endpoint, Instant now)
{
    if (scope_.synchronousReplicas() == 0) {
        if (const auto until = order_.conflictsUntil(endpoint, now); until && !scope_.isFenced()) {
            scope_.evaluateBy(*until);
            return;
        }
        replaced_.clear();
        proposedStart_ = {};
        proposeOrder(endpoint);
        return;
    }
    if (synchronousSelector_.isRetryDue(now) && queryPresentPrimary(endpoint, now)) {
        return;
    }
    // The claim may be outdated, so the endpoint must hold everything that the replicas hold.
    step_ = Step::Idle;
    replaced_ = endpoint;
    beginSynchronousSelection(endpoint + " claims to be primary", true, now);
}

void ServicePromotion::beginSynchronousSelection(const std::string &reason, bool confirming,
                                                 Instant now)
{
    synchronousSelector_.setReplaced(replaced_, confirming);
    if (!synchronousSelector_.isRetryDue(now)) {
        return;
    }
    if (!rules_.allCallsCompleted(now)) {
        if (!order_.hasOpenCalls() || tracker_.depositionEndsAt(now)) {
            // A promotion that is executed meanwhile would end the pauses.
            synchronousSelector_.requestRelease(now);
            return;
        }
        synchronousSelector_.setReplaced(order_.replaced(), order_.replaced() == order_.target());
        synchronousSelector_.restrictTarget(order_.target(), order_.term());
    }
    if (synchronousSelector_.begin(reason, now)) {
        step_ = Step::SelectingTarget;
        usesSynchronousSelector_ = true;
    }
    replaced_ = synchronousSelector_.replaced();
}

void ServicePromotion::retryLater(Instant now)
{
    step_ = Step::Idle;
    order_.beginPromotion();
    synchronousSelector_.retryLater(now);
}

void ServicePromotion::queryEndpoints(Step step,
                                      const std::vector<const KnownEndpoint *> &endpoints,
                                      Duration timeout, Instant now)
{
    step_ = step;
    stepDeadline_ = now + timeout;
    round_.send(endpoints);
}

void ServicePromotion::finishRoleQuery(Instant now)
{
    step_ = Step::Idle;
    const auto *const found = round_.findPrimary();
    planned_ = false;
    if (found == nullptr) {
        beginPromotion("no endpoint reports that it is primary", nullptr, now);
        return;
    }
    const auto &record = found->record;
    if (!tracker_.isAnnounced(record.id) && tracker_.canAnnounceClaim()) {
        tracker_.acceptQueried(*found, now);
    } else if (candidates_.isEligible(*found, now)) {
        // Entry hosts use another primary with the same epoch; only a new token overrides that.
        order_.beginPromotion();
        confirmPrimary(record.id, now);
    }
}

bool ServicePromotion::queryPresentPrimary(const std::string &endpoint, Instant now)
{
    const auto *const found = scope_.find(endpoint);
    if (!scope_.isFenced() || found == nullptr || !rules_.allCallsCompleted(now)) {
        return false;
    }
    queryEndpoints(Step::QueryingPresentPrimary, {found}, statusTimeout, now);
    return true;
}

void ServicePromotion::finishPresentPrimaryQuery(Instant now)
{
    step_ = Step::Idle;
    const auto *const found = round_.findPrimary();
    if (found == nullptr) {
        retryLater(now);
        return;
    }
    // No call can depose it any more, so it is the primary and holds every commit. The call
    // changes nothing at the platform and yields a token.
    const auto endpoint = found->record.id;
    order_.beginPromotion();
    replaced_ = endpoint;
    synchronousSelector_.acceptPresentPrimary(endpoint);
    proposedStart_ = {};
    proposeOrder(endpoint);
}

void ServicePromotion::finishPrimaryQuery(Instant now)
{
    step_ = Step::Idle;
    const auto *const endpoint = tracker_.primary(now);
    if (!round_.hasResponse() && endpoint != nullptr
        && (endpoint->expired || scope_.controller().entryHosts.empty())) {
        beginPromotion(endpoint->record.id + " sends no heartbeats and does not answer", endpoint,
                       now);
    }
}

void ServicePromotion::advanceStep(Instant now)
{
    const bool due = now >= stepDeadline_;
    const bool ended = due || round_.isComplete();
    switch (step_) {
    case Step::Idle:
    case Step::CommittingOrder:
        return;
    case Step::QueryingRoles:
        if (ended) {
            finishRoleQuery(now);
        }
        return;
    case Step::QueryingPrimary:
        if (ended) {
            finishPrimaryQuery(now);
        }
        return;
    case Step::QueryingPresentPrimary:
        if (ended) {
            finishPresentPrimaryQuery(now);
        }
        return;
    case Step::VerifyingTarget:
        advanceVerification(now);
        return;
    case Step::SelectingTarget:
        if (usesSynchronousSelector_) {
            applySelection(synchronousSelector_.advance(now), synchronousSelector_.target(), now);
        } else {
            applySelection(asynchronousSelector_.advance(now), asynchronousSelector_.target(), now);
        }
        return;
    case Step::WithdrawingPrimary:
        advanceWithdrawal(now);
        return;
    case Step::CallingPlatform:
    case Step::WaitingToRetry:
        if (due) {
            retryOrder(now);
        }
        return;
    }
}

void ServicePromotion::applySelection(SelectionState state, const std::string &target, Instant now)
{
    switch (state) {
    case SelectionState::Waiting:
        step_ = Step::SelectingTarget;
        return;
    case SelectionState::Chosen:
        proposedStart_ = selectedTermStart(target);
        proposeOrder(target);
        return;
    case SelectionState::Idle:
    case SelectionState::Failed:
        step_ = Step::Idle;
        order_.beginPromotion();
        // A promotion that was accepted but not executed leaves its predecessor in place.
        if (usesSynchronousSelector_ && !synchronousSelector_.otherPrimary().empty()) {
            (void)queryPresentPrimary(synchronousSelector_.otherPrimary(), now);
        }
        return;
    }
}

void ServicePromotion::proposeOrder(const std::string &target)
{
    step_ = Step::CommittingOrder;
    order_.propose(target, replaced_,
                   scope_.synchronousReplicas() == 0 ? 0 : synchronousSelector_.promotedTerm(),
                   proposedStart_);
}

void ServicePromotion::retryOrder(Instant now)
{
    const auto target = order_.target();
    if (const auto graceEnd = scope_.leadershipGraceEndsAt();
        scope_.find(target) == nullptr && !order_.hasToken() && now < graceEnd) {
        // Order of an earlier leader, whose target has not sent a heartbeat to this host yet.
        scheduleOrderRetry(graceEnd);
        return;
    }
    if (rules_.mayCallTarget(now) && rules_.targetHoldsAllCommits()) {
        proposeOrder(target);
        return;
    }
    if (scope_.synchronousReplicas() > 0 && order_.hasToken()) {
        order_.abandon(now);
    }
    planned_ = false;
    restartPromotion(target + " can no longer be promoted", now);
}

void ServicePromotion::scheduleOrderRetry(Instant retryAt)
{
    step_ = Step::WaitingToRetry;
    stepDeadline_ = retryAt;
}

TermStart ServicePromotion::selectedTermStart(const std::string &target) const
{
    const auto *const row = usesSynchronousSelector_ ? nullptr : round_.row(target);
    if (row == nullptr || row->role == EndpointRole::Primary) {
        // A call for the present primary begins no term.
        return {};
    }
    return {std::max(round_.highestTerm(), candidates_.newestKnownTerm()) + 1, row->received};
}

void ServicePromotion::acceptPromotion(Instant now)
{
    const auto target = order_.target();
    const auto token = order_.token();
    hasRestoredOrder_ = false;
    step_ = Step::Idle;
    order_.finish();
    synchronousSelector_.finish();
    evidence_.clear();
    candidates_.recordTermStart(std::exchange(proposedStart_, {}));
    withdrawal_.handlePromotion();
    tracker_.acceptPromotion(target, token, now);
    members_.handlePromotion();
    order_.settle(now);
}

} // namespace hyssoprock::internal
