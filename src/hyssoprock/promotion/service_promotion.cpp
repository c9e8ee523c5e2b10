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
        pause(now);
    }
}

void ServicePromotion::take(const EvidenceReport &report, Instant now)
{
    votes_.add(report, now);
}

void ServicePromotion::take(const promotion::StatusArrived &event, Instant /*now*/)
{
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
    if (target == nullptr || !eligible(*target, now)) {
        settle(token_, false);
        beginAgain(target_ + " cannot be promoted any more", now);
        return;
    }
    step_ = Step::Calling;
    stepDeadline_ = now + callTimeout;
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
        replaced_.clear();
        order(endpoint.record.id);
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
    beginPromotion(reason, replaced_.empty() ? nullptr : context_.registry.find(replaced_), now);
}

void ServicePromotion::query(Step step, const std::vector<const KnownEndpoint *> &endpoints,
                             Duration timeout, Instant now)
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
            promotion::QueryStatus{query_, service_, record.id, record.address});
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
        replaced_.clear();
        firstToken_ = 0;
        acceptedEarly_ = false;
        order(record.id);
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
    if (target != nullptr && eligible(*target, now)) {
        order(target_);
        return;
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
