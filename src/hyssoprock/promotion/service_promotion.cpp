#include <hyssoprock/promotion/service_promotion.hpp>

namespace hyssoprock::internal {

namespace {

using std::chrono::milliseconds;

constexpr Duration roleCheckTimeout = milliseconds{300};
constexpr Duration callTimeout = milliseconds{600};
constexpr Duration callPause = milliseconds{100};
constexpr Duration refusedExclusion = std::chrono::seconds{2};

} // namespace

void ServicePromotion::restore(const PromotionRecord &record, Instant now)
{
    tracker_.restore(record, now);
    if (!record.settled) {
        // The earlier leader's call may still be executed. A call with a higher token ends that.
        scope_.log("repeats the unsettled order " + std::to_string(record.token) + " for "
                   + record.endpoint);
        order_.restore(record, now);
        restoredOrder_ = true;
        if (scope_.synchronous() == 0) {
            pause(now);
        }
    }
}

void ServicePromotion::take(const promotion::OperationCompleted &event, Instant now)
{
    pausedChoice_.take(event, now);
    round_.take(event);
}

void ServicePromotion::take(const promotion::OrderProposalCompleted &event, Instant now)
{
    if (step_ != Step::Ordering || !order_.waitsFor(event)) {
        return;
    }
    if (!event.token) {
        pause(now + proposalPause);
        return;
    }
    order_.committed(*event.token);
    if (order_.acceptedEarly()) {
        accept(now);
        return;
    }
    if (!rules_.mayCall(now) || !rules_.holdsAllCommits()) {
        order_.abandon(now);
        beginAgain(order_.target() + " cannot be promoted any more", now);
        return;
    }
    step_ = Step::Calling;
    stepDeadline_ = now + callTimeout;
    order_.call(now);
}

void ServicePromotion::take(const promotion::CallCompleted &event, Instant now)
{
    switch (order_.take(event, step_ == Step::Calling, now)) {
    case CallEffect::None:
        return;
    case CallEffect::Promoted:
        if (step_ == Step::Ordering) {
            order_.noteAcceptedEarly();
        } else if (step_ == Step::Calling || step_ == Step::Pausing) {
            accept(now);
        }
        return;
    case CallEffect::Refused:
        candidates_.exclude(order_.target(), now + refusedExclusion);
        order_.abandon(now);
        beginAgain(order_.target() + " was refused", now);
        restoredOrder_ = false;
        return;
    case CallEffect::Retry:
        // A broken connection is noticed at once. The pause keeps that from filling the log.
        pause(now + callPause);
        return;
    }
}

void ServicePromotion::evaluate(Instant now)
{
    scope_.clearDeadline();
    candidates_.expire(now);
    order_.evaluate(now);
    advance(now);
    evaluateIdle(now);
    pausedChoice_.evaluate(step_ == Step::Idle, now);
    if (step_ == Step::Choosing) {
        scope_.wakeAt(paused_ ? pausedChoice_.stepDeadline() : queriedChoice_.stepDeadline());
    } else if (step_ != Step::Idle && step_ != Step::Ordering) {
        scope_.wakeAt(stepDeadline_);
    }
    if (const auto at = order_.settleAgainAt()) {
        scope_.wakeAt(*at);
    }
}

void ServicePromotion::evaluateIdle(Instant now)
{
    const auto *const endpoint = tracker_.primary(now);
    if (step_ != Step::Idle) {
        return;
    }
    if (restoredOrder_) {
        repeatRestored(now);
    }
    if (step_ != Step::Idle) {
        return;
    }
    if (endpoint == nullptr) {
        judgeMissing(now);
        return;
    }
    if (const auto &id = endpoint->record.id; !tracker_.named(id)) {
        if (tracker_.mayName()) {
            tracker_.nameStated(id);
        } else if (candidates_.eligible(*endpoint, now)) {
            // No epoch is left before the next token. Calling for an endpoint that is primary
            // already changes nothing at the platform and gives a token.
            confirm(id, now);
        }
    }
    if (step_ == Step::Idle) {
        judge(*endpoint, now);
    }
}

void ServicePromotion::repeatRestored(Instant now)
{
    if (scope_.synchronous() == 0) {
        pause(now);
    } else if (order_.callsEnd(now)) {
        beginPause("order " + std::to_string(order_.token()) + " for " + order_.target()
                       + " is not settled",
                   false, now);
    } else {
        restoredOrder_ = false;
        order_.abandon(now);
    }
}

void ServicePromotion::judge(const KnownEndpoint &primary, Instant now)
{
    if (primary.record.phase == EndpointPhase::Draining) {
        planned_ = true;
        beginPromotion(primary.record.id + " is draining", &primary, now);
        if (step_ != Step::Idle) {
            return;
        }
    }
    planned_ = false;
    const auto judgment = evidence_.judge(primary, tracker_.stableUntil(), now);
    switch (judgment.verdict) {
    case PrimaryVerdict::Keep:
        return;
    case PrimaryVerdict::Replace:
        beginPromotion(judgment.reason, &primary, now);
        return;
    case PrimaryVerdict::QueryPrimary:
        query(Step::CheckingPrimary, {&primary}, statusTimeout, now);
        return;
    case PrimaryVerdict::QueryRoles:
        query(Step::CheckingRole, scope_.members(), roleCheckTimeout, now);
        return;
    }
}

void ServicePromotion::judgeMissing(Instant now)
{
    const auto due = tracker_.missingDue();
    if (!due) {
        return;
    }
    if (now < *due) {
        scope_.wakeAt(*due);
        return;
    }
    planned_ = false;
    beginPromotion("no endpoint is primary", nullptr, now);
}

void ServicePromotion::beginPromotion(const std::string &reason, const KnownEndpoint *replaced,
                                      Instant now)
{
    step_ = Step::Idle;
    order_.begin();
    replaced_ = replaced == nullptr ? std::string{} : replaced->record.id;
    if (scope_.synchronous() > 0) {
        beginPause(reason, false, now);
        return;
    }
    paused_ = false;
    followChoice(queriedChoice_.begin(reason, replaced, planned_, now), queriedChoice_.target());
}

void ServicePromotion::beginAgain(const std::string &reason, Instant now)
{
    if (scope_.synchronous() > 0 && (pausedChoice_.confirms() || restoredOrder_)) {
        // Whether there still is a cause, and which primary is to be replaced, is judged anew.
        scope_.log(reason);
        retryLater(now);
        return;
    }
    restoredOrder_ = false;
    beginPromotion(reason, replaced_.empty() ? nullptr : scope_.find(replaced_), now);
}

void ServicePromotion::confirm(const std::string &endpoint, Instant now)
{
    if (scope_.synchronous() == 0) {
        replaced_.clear();
        order(endpoint);
        return;
    }
    // Its claim may be out of date, so it must hold what the replicas hold.
    step_ = Step::Idle;
    replaced_ = endpoint;
    beginPause(endpoint + " states that it is primary", true, now);
}

void ServicePromotion::beginPause(const std::string &reason, bool confirms, Instant now)
{
    pausedChoice_.aim(replaced_, confirms);
    if (!pausedChoice_.retryDue(now)) {
        return;
    }
    if (!rules_.callsEnded(now)) {
        if (!order_.callOpen() || tracker_.depositionEnd(now)) {
            // A promotion that is executed meanwhile would end the pauses.
            pausedChoice_.requestRelease(now);
            return;
        }
        pausedChoice_.aim(order_.replaced(), order_.replaced() == order_.target());
        pausedChoice_.restrict(order_.target(), order_.term());
    }
    if (pausedChoice_.begin(reason, now)) {
        step_ = Step::Choosing;
        paused_ = true;
    }
    replaced_ = pausedChoice_.replaced();
}

void ServicePromotion::retryLater(Instant now)
{
    step_ = Step::Idle;
    order_.begin();
    pausedChoice_.retryLater(now);
}

void ServicePromotion::query(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                             Duration timeout, Instant now)
{
    step_ = step;
    stepDeadline_ = now + timeout;
    round_.send(endpoints);
}

void ServicePromotion::finishRoleCheck(Instant now)
{
    step_ = Step::Idle;
    const auto *const found = round_.primary();
    planned_ = false;
    if (found == nullptr) {
        beginPromotion("no endpoint answers that it is primary", nullptr, now);
        return;
    }
    const auto &record = found->record;
    if (!tracker_.named(record.id) && tracker_.mayName()) {
        tracker_.acceptFound(*found, now);
    } else if (candidates_.eligible(*found, now)) {
        // Entry hosts rely on another one under the same epoch; only a new token overrides that.
        order_.begin();
        confirm(record.id, now);
    }
}

void ServicePromotion::finishPrimaryCheck(Instant now)
{
    step_ = Step::Idle;
    const auto *const endpoint = tracker_.primary(now);
    if (!round_.responded() && endpoint != nullptr && scope_.context().entryHosts.empty()) {
        beginPromotion(endpoint->record.id + " sends no heartbeats and does not answer", endpoint,
                       now);
    }
}

void ServicePromotion::advance(Instant now)
{
    const bool due = now >= stepDeadline_;
    const bool ended = due || round_.complete();
    switch (step_) {
    case Step::Idle:
    case Step::Ordering:
        return;
    case Step::CheckingRole:
        if (ended) {
            finishRoleCheck(now);
        }
        return;
    case Step::CheckingPrimary:
        if (ended) {
            finishPrimaryCheck(now);
        }
        return;
    case Step::Choosing:
        if (paused_) {
            followChoice(pausedChoice_.advance(now), pausedChoice_.target());
        } else {
            followChoice(queriedChoice_.advance(now), queriedChoice_.target());
        }
        return;
    case Step::Calling:
    case Step::Pausing:
        if (due) {
            orderAgain(now);
        }
        return;
    }
}

void ServicePromotion::followChoice(ChoiceState state, const std::string &target)
{
    switch (state) {
    case ChoiceState::Waiting:
        step_ = Step::Choosing;
        return;
    case ChoiceState::Chosen:
        order(target);
        return;
    case ChoiceState::Idle:
    case ChoiceState::Failed:
        step_ = Step::Idle;
        order_.begin();
        return;
    }
}

void ServicePromotion::order(const std::string &target)
{
    step_ = Step::Ordering;
    order_.propose(target, replaced_, scope_.synchronous() == 0 ? 0 : pausedChoice_.promotedTerm());
}

void ServicePromotion::orderAgain(Instant now)
{
    const auto target = order_.target();
    if (const auto graceEnd = scope_.leadershipGraceEnd();
        scope_.find(target) == nullptr && !order_.ordered() && now < graceEnd) {
        // An order of an earlier leader, whose target has not been heard here yet.
        pause(graceEnd);
        return;
    }
    if (rules_.mayCall(now) && rules_.holdsAllCommits()) {
        order(target);
        return;
    }
    if (scope_.synchronous() > 0 && order_.ordered()) {
        order_.abandon(now);
    }
    planned_ = false;
    beginAgain(target + " cannot be promoted any more", now);
}

void ServicePromotion::pause(Instant until)
{
    step_ = Step::Pausing;
    stepDeadline_ = until;
}

void ServicePromotion::accept(Instant now)
{
    const auto target = order_.target();
    const auto token = order_.token();
    restoredOrder_ = false;
    step_ = Step::Idle;
    order_.finish();
    pausedChoice_.finish();
    evidence_.clear();
    tracker_.accept(target, token, now);
    order_.settle();
}

} // namespace hyssoprock::internal
