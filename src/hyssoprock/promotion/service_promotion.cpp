#include <hyssoprock/promotion/service_promotion.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoprock::internal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Heartbeats of other endpoints, among them a primary's, must have time to arrive.
constexpr Duration firstHeartbeatGrace = seconds{1};
constexpr Duration leadershipGrace = seconds{2};
/// Time in which another endpoint may state that it has become primary.
constexpr Duration roleChangeGrace = seconds{1};
constexpr Duration askInterval = milliseconds{600};
constexpr Duration statusTimeout = milliseconds{150};
constexpr Duration roleCheckTimeout = milliseconds{300};
constexpr Duration roleCheckInterval = seconds{1};
constexpr Duration callTimeout = milliseconds{600};
constexpr Duration callPause = milliseconds{100};
constexpr Duration proposalPause = milliseconds{100};
constexpr Duration pauseTimeout = milliseconds{400};
constexpr Duration pauseRetry = milliseconds{300};
/// The platform answers a call some hundred ms before the old primary is deposed.
constexpr Duration depositionGrace = seconds{2};
constexpr Duration refusedExclusion = seconds{2};
constexpr Duration acceptedFailure = seconds{1};
constexpr Duration candidateInterval = milliseconds{500};
constexpr int freshIntervals = 4;
/// Queries of a planned promotion while no replica holds the primary's position.
constexpr int plannedRounds = 3;
/// One mistaken entry host must not cause queries.
constexpr std::size_t notPrimaryReports = 2;

/// Epochs are odd for promotions; the even one after them is for what endpoints state.
constexpr std::uint64_t promotionEpoch(std::uint64_t token)
{
    return 2 * token + 1;
}

} // namespace

void ServicePromotion::restore(const PromotionRecord &record, Instant now)
{
    acceptedToken_ = record.token;
    if (record.settled && record.promoted) {
        accepted_ = Accepted{record.endpoint, record.token, now, {}, false, true};
        name(record.endpoint, promotionEpoch(record.token));
        return;
    }
    if (!record.settled) {
        // The earlier leader's call may still be executed. A call with a higher token ends that.
        log("repeats the unsettled order " + std::to_string(record.token) + " for "
            + record.endpoint);
        target_ = record.endpoint;
        token_ = record.token;
        restoredOrder_ = true;
        openCalls_[record.token] = now + lateOrder;
        pause(now);
    }
}

void ServicePromotion::take(const EvidenceReport &report, Instant now)
{
    votes_.add(report, now);
}

void ServicePromotion::take(const promotion::StatusArrived &event, Instant now)
{
    if (const auto *const endpoint = context_.registry.find(event.endpoint);
        event.row && endpoint != nullptr && endpoint->record.service == service_) {
        highestTerm_ = std::max(highestTerm_.value_or(0), event.row->term);
        if (event.row->role == EndpointRole::Primary) {
            steppedDown_.reset();
        }
    }
    pauses_.take(event, now);
    if (event.query != query_ || unanswered_.erase(event.endpoint) == 0) {
        return;
    }
    reached_ = reached_ || event.reached || event.row;
    if (event.row) {
        rows_[event.endpoint] = *event.row;
    }
}

void ServicePromotion::take(const promotion::OrderEnded &event, Instant now)
{
    if (step_ != Step::Ordering || event.proposal != proposal_) {
        return;
    }
    if (!event.token) {
        pause(now + proposalPause);
        return;
    }
    token_ = *event.token;
    unsettled_.reset();
    settleAgainAt_.reset();
    if (firstToken_ == 0) {
        firstToken_ = token_;
    }
    if (acceptedEarly_) {
        accept(now);
        return;
    }
    const auto *const target = context_.registry.find(target_);
    if (!mayCall(target, now) || !holdsAllCommits()) {
        settle(token_, false);
        beginAgain(target_ + " cannot be promoted any more", now);
        return;
    }
    step_ = Step::Calling;
    stepDeadline_ = now + callTimeout;
    openCalls_[token_] = now + lateOrder;
    log("promotes " + target_ + " with token " + std::to_string(token_));
    context_.actions.emplace_back(promotion::CallPromotion{service_, target_, token_});
}

void ServicePromotion::take(const promotion::SettlementEnded &event, Instant now)
{
    if (!unsettled_ || unsettled_->token != event.token) {
        return;
    }
    if (event.committed) {
        unsettled_.reset();
    } else {
        settleAgainAt_ = now + proposalPause;
    }
}

void ServicePromotion::take(const promotion::CallEnded &event, Instant now)
{
    const bool current = step_ == Step::Calling && event.token == token_;
    if (event.outcome == PromotionOutcome::Limited) {
        openCalls_.erase(event.token);
    } else if (event.outcome != PromotionOutcome::NoAnswer) {
        // The platform has seen this token, so it refuses calls with lower ones.
        openCalls_.erase(openCalls_.begin(), openCalls_.upper_bound(event.token));
        if (event.outcome == PromotionOutcome::Accepted) {
            openCalls_[event.token] = now + depositionGrace;
        }
    }
    switch (event.outcome) {
    case PromotionOutcome::Accepted:
        if (firstToken_ == 0 || event.token < firstToken_ || event.endpoint != target_) {
            return;
        }
        // A late answer to an earlier call has the same effect as that of the present one.
        if (step_ == Step::Ordering) {
            acceptedEarly_ = true;
        } else if (step_ == Step::Calling || step_ == Step::Pausing) {
            accept(now);
        }
        return;
    case PromotionOutcome::Refused:
        if (current) {
            excludedUntil_[target_] = now + refusedExclusion;
            settle(token_, false);
            beginAgain(target_ + " was refused", now);
        }
        return;
    case PromotionOutcome::Limited:
    case PromotionOutcome::NoAnswer:
        // A broken connection is noticed at once. The pause keeps that from filling the log.
        if (current) {
            pause(now + callPause);
        }
        return;
    }
}

void ServicePromotion::evaluate(Instant now)
{
    deadline_.reset();
    std::erase_if(excludedUntil_, [now](const auto &entry) { return entry.second <= now; });
    if (settleAgainAt_ && now >= *settleAgainAt_) {
        settleAgainAt_.reset();
        propose({*unsettled_});
    }
    advance(now);
    const auto *const endpoint = primary(now);
    if (step_ == Step::Idle) {
        if (endpoint != nullptr) {
            nameByHeartbeat(*endpoint, now);
        }
        if (step_ == Step::Idle && endpoint != nullptr) {
            judgePrimary(*endpoint, now);
        } else if (step_ == Step::Idle) {
            judgeMissing(now);
        }
    }
    releaseIfSafe(now);
    if (const auto due = context_.leaderSince + leadershipGrace;
        synchronous() > 0 && !resumedAll_) {
        if (now < due) {
            wakeAt(due);
        } else if (step_ == Step::Idle && !pauses_.holding() && mayResume(now)) {
            resumedAll_ = true;
            pauses_.resumeAll(now);
        }
    }
    pauses_.evaluate(now);
    if (const auto due = pauses_.deadline()) {
        wakeAt(*due);
    }
    if (step_ != Step::Idle && step_ != Step::Ordering) {
        wakeAt(stepDeadline_);
    }
    if (settleAgainAt_) {
        wakeAt(*settleAgainAt_);
    }
}

const KnownEndpoint *ServicePromotion::primary(Instant now)
{
    if (accepted_) {
        const auto *const endpoint = context_.registry.find(accepted_->endpoint);
        const auto graceEnd = context_.leaderSince + leadershipGrace;
        bool contradicted = endpoint == nullptr;
        if (endpoint != nullptr) {
            const auto &record = endpoint->record;
            accepted_->bornMs = accepted_->bornMs.value_or(record.bornMs);
            const bool replica = record.role == EndpointRole::Replica;
            // Whether the target of an earlier leader has said that it is primary is not known.
            contradicted = *accepted_->bornMs != record.bornMs
                           || (accepted_->saidPrimary && replica)
                           || (accepted_->restored && replica && endpoint->heardAt >= graceEnd);
            accepted_->saidPrimary = accepted_->saidPrimary || !replica;
        }
        if (accepted_->restored && now < graceEnd && contradicted) {
            wakeAt(graceEnd);
            return endpoint;
        }
        if (!contradicted) {
            missingSince_.reset();
            lastPrimary_ = accepted_->endpoint;
            lastPrimaryBornMs_ = *accepted_->bornMs;
            return endpoint;
        }
        log(accepted_->endpoint + " is not primary any more");
        claimsCountFrom_ = accepted_->restored ? Instant{} : accepted_->at;
        accepted_.reset();
    }
    const KnownEndpoint *latest = nullptr;
    const auto rank = [](const KnownEndpoint &endpoint) {
        return std::tuple{!endpoint.expired, endpoint.roleSince, endpoint.record.bornMs};
    };
    for (const auto *const member : context_.registry.members(service_)) {
        if (member->record.role == EndpointRole::Primary && member->roleSince >= claimsCountFrom_
            && (latest == nullptr || rank(*latest) < rank(*member))) {
            latest = member;
        }
    }
    if (latest != nullptr) {
        missingSince_.reset();
        lastPrimary_ = latest->record.id;
        lastPrimaryBornMs_ = latest->record.bornMs;
    } else if (!missingSince_) {
        missingSince_ = now;
    }
    return latest;
}

void ServicePromotion::name(const std::string &endpoint, std::uint64_t epoch)
{
    named_ = {service_, endpoint, epoch};
    log("primary is " + endpoint + ", epoch " + std::to_string(epoch));
    context_.actions.emplace_back(promotion::NamePrimary{named_});
}

void ServicePromotion::nameByHeartbeat(const KnownEndpoint &endpoint, Instant now)
{
    if (named_.endpoint == endpoint.record.id) {
        return;
    }
    if (const auto epoch = promotionEpoch(acceptedToken_) + 1; named_.epoch < epoch) {
        name(endpoint.record.id, epoch);
    } else if (eligible(endpoint, now)) {
        // No epoch is left before the next token. Calling for an endpoint that is primary already
        // changes nothing at the platform and gives a token.
        confirm(endpoint.record.id, now);
    }
}

void ServicePromotion::judgePrimary(const KnownEndpoint &primary, Instant now)
{
    if (primary.record.phase == EndpointPhase::Draining) {
        planned_ = true;
        beginPromotion(primary.record.id + " is draining", &primary, now);
        if (step_ != Step::Idle) {
            return;
        }
    }
    planned_ = false;
    if (!context_.entryHosts.empty()) {
        judgeReports(primary, now);
        return;
    }
    unreachableSince_.reset();
    if (fresh(primary, now)) {
        wakeAt(primary.heardAt + freshIntervals * context_.registry.heartbeatInterval());
    } else if (checkedAt_ && now < *checkedAt_ + askInterval) {
        wakeAt(*checkedAt_ + askInterval);
    } else if (!acceptedLately(now)) {
        checkedAt_ = now;
        query(Step::CheckingPrimary, {&primary}, statusTimeout, now);
    } else {
        wakeAt(accepted_->at + context_.stableWindow);
    }
}

void ServicePromotion::judgeReports(const KnownEndpoint &primary, Instant now)
{
    const auto &id = primary.record.id;
    const auto count = votes_.count(id, context_.entryHosts, now);
    if (count.nextExpiry) {
        wakeAt(*count.nextExpiry);
    }
    const bool heard = fresh(primary, now);
    if (heard) {
        wakeAt(primary.heardAt + freshIntervals * context_.registry.heartbeatInterval());
    }
    // Without traffic nobody reports a dead primary, so missing heartbeats are a reason to ask.
    if (count.unreachable > 0 || !heard) {
        if (!askedAt_ || askedEndpoint_ != id || now >= *askedAt_ + askInterval) {
            askedAt_ = now;
            askedEndpoint_ = id;
            context_.actions.emplace_back(promotion::AskEvidence{service_, id});
        }
        wakeAt(*askedAt_ + askInterval);
    }
    if (votes_.unreachable(id, context_.entryHosts, now)) {
        unreachableSince_ = unreachableSince_.value_or(now);
        if (!acceptedLately(now) || now >= *unreachableSince_ + acceptedFailure) {
            beginPromotion(id + " is unreachable for " + std::to_string(count.unreachable) + " of "
                               + std::to_string(context_.entryHosts.size()) + " entry hosts",
                           &primary, now);
        } else {
            wakeAt(std::min(*unreachableSince_ + acceptedFailure,
                            accepted_->at + context_.stableWindow));
        }
        return;
    }
    unreachableSince_.reset();
    if (count.notPrimary < std::min(notPrimaryReports, context_.entryHosts.size())) {
        return;
    }
    if (acceptedLately(now)) {
        wakeAt(accepted_->at + context_.stableWindow);
    } else if (checkedAt_ && now < *checkedAt_ + roleCheckInterval) {
        wakeAt(*checkedAt_ + roleCheckInterval);
    } else {
        checkedAt_ = now;
        votes_.clear(id);
        log("entry hosts find that " + id + " is not primary; queries all endpoints");
        query(Step::CheckingRole, context_.registry.members(service_), roleCheckTimeout, now);
    }
}

void ServicePromotion::judgeMissing(Instant now)
{
    const auto members = context_.registry.members(service_);
    if (members.empty()) {
        return;
    }
    for (const auto *const member : members) {
        firstHeard_ = std::min(firstHeard_.value_or(member->firstHeardAt), member->firstHeardAt);
    }
    auto due = std::max(*firstHeard_ + firstHeartbeatGrace, context_.leaderSince + leadershipGrace);
    if (const auto *const last = context_.registry.find(lastPrimary_);
        missingSince_ && last != nullptr && last->record.bornMs == lastPrimaryBornMs_) {
        // It runs on as a replica, so another endpoint may be about to say that it is primary.
        due = std::max(due, *missingSince_ + roleChangeGrace);
    }
    if (now < due) {
        wakeAt(due);
        return;
    }
    planned_ = false;
    beginPromotion("no endpoint is primary", nullptr, now);
}

bool ServicePromotion::acceptedLately(Instant now) const
{
    return accepted_ && !accepted_->restored && now < accepted_->at + context_.stableWindow;
}

bool ServicePromotion::fresh(const KnownEndpoint &endpoint, Instant now) const
{
    return now - endpoint.heardAt < freshIntervals * context_.registry.heartbeatInterval();
}

std::vector<const KnownEndpoint *> ServicePromotion::candidates(Instant now)
{
    std::vector<const KnownEndpoint *> all;
    for (const auto *const member : context_.registry.members(service_)) {
        if (member->record.id != replaced_ && eligible(*member, now)) {
            all.push_back(member);
        }
    }
    auto heard = all;
    std::erase_if(heard, [&](const auto *member) { return !fresh(*member, now); });
    return heard.empty() ? all : heard;
}

bool ServicePromotion::eligible(const KnownEndpoint &endpoint, Instant now) const
{
    return endpoint.record.phase == EndpointPhase::Ready
           && !excludedUntil_.contains(endpoint.record.id)
           && !votes_.unreachable(endpoint.record.id, context_.entryHosts, now);
}

void ServicePromotion::beginPromotion(const std::string &reason, const KnownEndpoint *replaced,
                                      Instant now)
{
    step_ = Step::Idle;
    firstToken_ = 0;
    acceptedEarly_ = false;
    replaced_ = replaced == nullptr ? std::string{} : replaced->record.id;
    confirms_ = false;
    if (synchronous() > 0) {
        beginPause(reason, now);
        return;
    }
    auto endpoints = candidates(now);
    if (endpoints.empty()) {
        wakeAt(now + candidateInterval);
        return;
    }
    log("chooses a primary: " + reason);
    if (endpoints.size() == 1 && !planned_) {
        order(endpoints.front()->record.id);
        return;
    }
    rounds_ = 1;
    if (planned_ && replaced != nullptr) {
        endpoints.push_back(replaced);
    }
    query(Step::Querying, endpoints, statusTimeout, now);
}

void ServicePromotion::beginAgain(const std::string &reason, Instant now)
{
    if (synchronous() > 0 && (confirms_ || std::exchange(restoredOrder_, false))) {
        // Whether there still is a cause, and which primary is to be replaced, is judged anew.
        log(reason);
        confirms_ = false;
        retryLater(now);
        return;
    }
    beginPromotion(reason, replaced_.empty() ? nullptr : context_.registry.find(replaced_), now);
}

void ServicePromotion::confirm(const std::string &endpoint, Instant now)
{
    replaced_.clear();
    if (synchronous() == 0) {
        order(endpoint);
        return;
    }
    // Its claim may be out of date, so it must hold what the replicas hold.
    step_ = Step::Idle;
    replaced_ = endpoint;
    confirms_ = true;
    beginPause(endpoint + " states that it is primary", now);
}

void ServicePromotion::beginPause(const std::string &reason, Instant now)
{
    if (now < retryAt_) {
        wakeAt(retryAt_);
        return;
    }
    if (!callsEnded(now)) {
        // A promotion that is executed meanwhile would end the pauses.
        requestRelease(now);
        return;
    }
    if (replaced_.empty() && finalPositionHolds()) {
        // Nobody was promoted since, so it does not count as a replica.
        replaced_ = steppedDown_->endpoint;
    }
    const auto endpoints = candidates(now);
    if (endpoints.empty() && !confirms_) {
        requestRelease(now);
        wakeAt(now + candidateInterval);
        return;
    }
    if (reason != pauseReason_) {
        pauseReason_ = reason;
        log("chooses a primary: " + reason);
    }
    pausedAgain_ = false;
    // If no replica can reach the final position, enough of them may answer a pause by now.
    finalQueryNext_ = !finalQueryNext_;
    if (!confirms_ && finalPositionHolds() && finalQueryNext_) {
        rounds_ = 1;
        query(Step::QueryingFinal, endpoints, statusTimeout, now);
    } else if (!highestTerm_) {
        query(Step::QueryingTerm, context_.registry.members(service_), statusTimeout, now);
    } else {
        sendPauses(now);
    }
}

void ServicePromotion::sendPauses(Instant now)
{
    releaseWanted_ = false;
    pauseTerm_ = *highestTerm_ + 1;
    auto replicas = context_.registry.members(service_);
    std::erase_if(replicas, [this](const auto *member) { return member->record.id == replaced_; });
    pauses_.pause(replicas, pauseTerm_, now);
    std::vector<const KnownEndpoint *> others;
    if (const auto *const endpoint = context_.registry.find(replaced_)) {
        others.push_back(endpoint);
    }
    query(Step::PausingReplicas, others, pauseTimeout, now);
}

void ServicePromotion::advancePause(bool due, Instant now)
{
    if (pauses_.primaryAnswered()) {
        // The endpoint that is to be replaced is not the primary.
        retryLater(now);
        return;
    }
    const bool enough = pauses_.paused(replaced_).size() >= requiredPauses();
    if (enough && orderPaused(now)) {
        return;
    }
    if (!due && !(pauses_.complete() && unanswered_.empty())) {
        return;
    }
    if (!enough && *highestTerm_ >= pauseTerm_ && !pausedAgain_) {
        pausedAgain_ = true;
        sendPauses(now);
        return;
    }
    const auto row = rows_.find(replaced_);
    if (const auto *const endpoint = context_.registry.find(replaced_);
        !enough && !confirms_ && endpoint != nullptr && row != rows_.end()
        && row->second.role == EndpointRole::Primary && row->second.term >= *highestTerm_) {
        log("too few replicas can be paused; tells " + replaced_ + " to step down");
        requestRelease(now);
        query(Step::SteppingDown, {endpoint}, pauseTimeout, now, EndpointOrder::StepDown);
        return;
    }
    retryLater(now);
}

bool ServicePromotion::orderPaused(Instant now)
{
    const auto rows = pauses_.paused(replaced_);
    byFinalPosition_ = false;
    LogPosition best;
    for (const auto &[id, row] : rows) {
        best = std::max(best, row.received);
    }
    if (confirms_) {
        if (unanswered_.contains(replaced_)) {
            return false;
        }
        if (const auto row = rows_.find(replaced_); row != rows_.end()
                                                    && row->second.role == EndpointRole::Primary
                                                    && row->second.received >= best) {
            order(replaced_);
            return true;
        }
    }
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows) {
        // A draining replica is never eligible. While only such a one has the best position, the
        // others have to be resumed to reach it.
        const auto *const endpoint = context_.registry.find(id);
        if (row.received == best && endpoint != nullptr && eligible(*endpoint, now)
            && (found == nullptr || found->heardAt < endpoint->heardAt)) {
            found = endpoint;
        }
    }
    if (found == nullptr) {
        return false;
    }
    order(found->record.id);
    return true;
}

void ServicePromotion::finishStepDown(Instant now)
{
    const auto row = rows_.find(replaced_);
    const auto *const endpoint = context_.registry.find(replaced_);
    // A higher term shows that another primary has been promoted meanwhile.
    if (row == rows_.end() || endpoint == nullptr || row->second.role != EndpointRole::Replica
        || row->second.term > pauseTerm_) {
        retryLater(now);
        return;
    }
    finalQueryNext_ = true;
    steppedDown_ = SteppedDown{replaced_, endpoint->record.bornMs, row->second.received};
    rounds_ = 1;
    query(Step::QueryingFinal, candidates(now), statusTimeout, now);
}

void ServicePromotion::finishFinalQuery(Instant now)
{
    if (!finalPositionHolds()) {
        retryLater(now);
        return;
    }
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows_) {
        const auto *const endpoint = context_.registry.find(id);
        if (row.received >= steppedDown_->final && endpoint != nullptr && id != replaced_
            && eligible(*endpoint, now)) {
            found = endpoint;
        }
    }
    if (found != nullptr) {
        byFinalPosition_ = true;
        order(found->record.id);
    } else if (rounds_ < plannedRounds) {
        ++rounds_;
        query(Step::QueryingFinal, candidates(now), statusTimeout, now);
    } else {
        retryLater(now);
    }
}

void ServicePromotion::retryLater(Instant now)
{
    step_ = Step::Idle;
    firstToken_ = 0;
    acceptedEarly_ = false;
    retryAt_ = now + pauseRetry;
    requestRelease(now);
    wakeAt(retryAt_);
}

void ServicePromotion::requestRelease(Instant now)
{
    releaseWanted_ = pauses_.holding();
    releaseIfSafe(now);
}

void ServicePromotion::releaseIfSafe(Instant now)
{
    if (releaseWanted_ && mayResume(now)) {
        releaseWanted_ = false;
        pauses_.release(now);
    }
}

bool ServicePromotion::mayResume(Instant now)
{
    if (unsettled_) {
        // A new leader repeats an order that is not settled, relying on the pause.
        return false;
    }
    return callsEnded(now);
}

bool ServicePromotion::mayCall(const KnownEndpoint *target, Instant now) const
{
    if (synchronous() > 0 && !openCalls_.empty()) {
        // Until a call is answered, an earlier one may be executed, so a target that cannot be
        // reached is not given up: if it does not run, the platform refuses the next call.
        return target == nullptr || target->record.phase == EndpointPhase::Ready;
    }
    return target != nullptr && eligible(*target, now);
}

bool ServicePromotion::callsEnded(Instant now)
{
    std::erase_if(openCalls_, [now](const auto &call) { return call.second <= now; });
    if (!openCalls_.empty()) {
        // After a resume, a late execution would promote a target that lacks newer commits.
        wakeAt(std::max_element(openCalls_.begin(), openCalls_.end(),
                                [](const auto &a, const auto &b) { return a.second < b.second; })
                   ->second);
        return false;
    }
    if (accepted_ && !accepted_->restored && !accepted_->saidPrimary
        && now < accepted_->at + depositionGrace) {
        wakeAt(accepted_->at + depositionGrace);
        return false;
    }
    return true;
}

std::uint32_t ServicePromotion::synchronous() const
{
    const auto found = context_.synchronousReplicas.find(service_);
    return found == context_.synchronousReplicas.end() ? 0 : found->second;
}

std::size_t ServicePromotion::requiredPauses() const
{
    const auto members = context_.registry.members(service_);
    const auto replicas = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [this](const auto *member) { return member->record.id != replaced_; }));
    return replicas > synchronous() ? replicas - synchronous() + 1 : 1;
}

bool ServicePromotion::finalPositionHolds() const
{
    // A primary that restarts leads on.
    const auto *const endpoint =
        steppedDown_ ? context_.registry.find(steppedDown_->endpoint) : nullptr;
    return endpoint != nullptr && endpoint->record.bornMs == steppedDown_->bornMs;
}

bool ServicePromotion::holdsAllCommits() const
{
    return synchronous() == 0 || restoredOrder_ || (byFinalPosition_ && finalPositionHolds())
           || pauses_.paused(replaced_).size() >= requiredPauses();
}

void ServicePromotion::query(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                             Duration timeout, Instant now, EndpointOrder order)
{
    step_ = step;
    stepDeadline_ = now + timeout;
    query_ = ++context_.lastQuery;
    unanswered_.clear();
    rows_.clear();
    reached_ = false;
    for (const auto *const endpoint : endpoints) {
        const auto &record = endpoint->record;
        unanswered_.insert(record.id);
        context_.actions.emplace_back(
            promotion::CommandEndpoint{query_, service_, record.id, record.address, order,
                                       order == EndpointOrder::Status ? 0 : pauseTerm_});
    }
}

void ServicePromotion::finishQuery(Instant now)
{
    const auto primary = rows_.find(replaced_);
    if (planned_ && primary != rows_.end() && rounds_ < plannedRounds) {
        const bool reached = std::any_of(rows_.begin(), rows_.end(), [&](const auto &row) {
            return row.first != replaced_ && row.second.received >= primary->second.received;
        });
        if (!reached) {
            auto endpoints = candidates(now);
            if (const auto *const endpoint = context_.registry.find(replaced_)) {
                endpoints.push_back(endpoint);
            }
            ++rounds_;
            query(Step::Querying, endpoints, statusTimeout, now);
            return;
        }
    }
    choose(now);
}

void ServicePromotion::choose(Instant now)
{
    const auto endpoints = candidates(now);
    if (endpoints.empty()) {
        step_ = Step::Idle;
        return;
    }
    const auto rank = [this](const KnownEndpoint *endpoint) {
        const auto row = rows_.find(endpoint->record.id);
        return std::tuple{row != rows_.end(),
                          row != rows_.end() ? row->second.received : LogPosition{},
                          endpoint->heardAt};
    };
    const auto best =
        std::max_element(endpoints.begin(), endpoints.end(),
                         [&](const auto *a, const auto *b) { return rank(a) < rank(b); });
    order((*best)->record.id);
}

void ServicePromotion::finishRoleCheck(Instant now)
{
    step_ = Step::Idle;
    const EndpointStatusRow *highest = nullptr;
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows_) {
        const auto *const endpoint = context_.registry.find(id);
        if (endpoint != nullptr && row.role == EndpointRole::Primary
            && (highest == nullptr || highest->term < row.term)) {
            highest = &row;
            found = endpoint;
        }
    }
    planned_ = false;
    if (found == nullptr) {
        beginPromotion("no endpoint answers that it is primary", nullptr, now);
        return;
    }
    const auto &record = found->record;
    if (record.id != named_.endpoint && named_.epoch <= promotionEpoch(acceptedToken_)) {
        accepted_ = Accepted{record.id, acceptedToken_, now, record.bornMs, false, false};
        name(record.id, promotionEpoch(acceptedToken_) + 1);
    } else if (eligible(*found, now)) {
        // Entry hosts rely on another one under the same epoch; only a new token overrides that.
        firstToken_ = 0;
        acceptedEarly_ = false;
        confirm(record.id, now);
    }
}

void ServicePromotion::finishPrimaryCheck(Instant now)
{
    step_ = Step::Idle;
    const auto *const endpoint = primary(now);
    if (!reached_ && endpoint != nullptr && context_.entryHosts.empty()) {
        beginPromotion(endpoint->record.id + " sends no heartbeats and does not answer", endpoint,
                       now);
    }
}

void ServicePromotion::advance(Instant now)
{
    const bool due = now >= stepDeadline_;
    switch (step_) {
    case Step::Idle:
    case Step::Ordering:
        return;
    case Step::CheckingRole:
        if (due || unanswered_.empty()) {
            finishRoleCheck(now);
        }
        return;
    case Step::CheckingPrimary:
        if (due || unanswered_.empty()) {
            finishPrimaryCheck(now);
        }
        return;
    case Step::Querying:
        if (due || unanswered_.empty()) {
            finishQuery(now);
        }
        return;
    case Step::QueryingTerm:
        if (due || unanswered_.empty()) {
            if (highestTerm_) {
                sendPauses(now);
            } else {
                retryLater(now);
            }
        }
        return;
    case Step::PausingReplicas:
        advancePause(due, now);
        return;
    case Step::SteppingDown:
        if (due || unanswered_.empty()) {
            finishStepDown(now);
        }
        return;
    case Step::QueryingFinal:
        if (due || unanswered_.empty()) {
            finishFinalQuery(now);
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

void ServicePromotion::order(const std::string &target)
{
    target_ = target;
    step_ = Step::Ordering;
    propose({OrderPromotion{service_, target}});
    proposal_ = context_.lastProposal;
}

void ServicePromotion::orderAgain(Instant now)
{
    const auto *const target = context_.registry.find(target_);
    if (const auto graceEnd = context_.leaderSince + leadershipGrace;
        target == nullptr && firstToken_ == 0 && now < graceEnd) {
        // An order of an earlier leader, whose target has not been heard here yet.
        pause(graceEnd);
        return;
    }
    if (mayCall(target, now) && holdsAllCommits()) {
        order(target_);
        return;
    }
    if (synchronous() > 0 && (firstToken_ != 0 || restoredOrder_)) {
        // An earlier leader's order that is not settled would be repeated without a new pause.
        settle(token_, false);
    }
    planned_ = false;
    beginAgain(target_ + " cannot be promoted any more", now);
}

void ServicePromotion::pause(Instant until)
{
    step_ = Step::Pausing;
    stepDeadline_ = until;
}

void ServicePromotion::accept(Instant now)
{
    const auto *const target = context_.registry.find(target_);
    accepted_ = Accepted{target_, token_, now, {}, false, false};
    if (target != nullptr) {
        accepted_->bornMs = target->record.bornMs;
    }
    acceptedToken_ = token_;
    restoredOrder_ = false;
    confirms_ = false;
    steppedDown_.reset();
    pauseReason_.clear();
    openCalls_.clear();
    releaseWanted_ = pauses_.holding();
    step_ = Step::Idle;
    firstToken_ = 0;
    acceptedEarly_ = false;
    votes_.clear();
    unreachableSince_.reset();
    askedAt_.reset();
    name(target_, promotionEpoch(token_));
    settle(token_, true);
}

void ServicePromotion::settle(std::uint64_t token, bool promoted)
{
    unsettled_ = SettlePromotion{service_, token, promoted};
    settleAgainAt_.reset();
    propose({*unsettled_});
}

void ServicePromotion::propose(ControlCommand command)
{
    context_.actions.emplace_back(promotion::Propose{++context_.lastProposal, std::move(command)});
}

void ServicePromotion::log(const std::string &text)
{
    context_.actions.emplace_back(
        promotion::LogDecision{"[failover] service " + service_ + ": " + text});
}

void ServicePromotion::wakeAt(Instant at)
{
    if (!deadline_ || at < *deadline_) {
        deadline_ = at;
    }
}

} // namespace hyssoprock::internal
