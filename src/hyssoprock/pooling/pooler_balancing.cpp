#include <algorithm>
#include <utility>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// Opening a connection takes a slot of the endpoint and a few round trips.
constexpr Duration openingCost = std::chrono::milliseconds{15};
// Where hosts take turns, the connections of a primary are reserved for the statements that only it
// can run. One that is open and idle takes nothing from them.
constexpr Duration primaryOpeningCost = std::chrono::milliseconds{100};

// Reads with a required position can run on any endpoint. Other statements only run on the primary,
// so their outcomes cannot be compared with those of other endpoints.
bool isMovableRead(const CallerRequest &request)
{
    return !request.writes && request.requiredPosition.has_value();
}

Duration oldestWait(const PooledEndpoint &endpoint, Instant now)
{
    auto result = Duration::zero();
    for (const auto *known : endpoint.pool) {
        if (known->open && !known->pending.empty()) {
            result = std::max(result, now - known->pending.front().sentAt);
        }
    }
    return result;
}

std::optional<Duration> lowestLatency(const PooledService &service)
{
    std::optional<Duration> result;
    for (const auto *endpoint : service.endpoints) {
        if (const auto low = endpoint->load.lowLatency(); low && (!result || *low < *result)) {
            result = low;
        }
    }
    return result;
}

} // namespace

void Pooler::Impl::setOutlierMembers(PooledService &service)
{
    std::vector<std::string> members;
    for (const auto *endpoint : service.endpoints) {
        members.push_back(endpoint->record.id);
    }
    service.outliers.setMembers(members);
}

void Pooler::Impl::avoidOutliers(const CallerSession &session)
{
    if (!settings_.evenBalancing || placements_.size() < 2) {
        return;
    }
    const auto &outliers = session.request->service->outliers;
    const auto useOf = [&](const Placement &placement) {
        const auto use = outliers.use(placement.endpoint->record.id, now_);
        // A failed statement ends a transaction, so only single reads are used as trials.
        return use == EndpointUse::Trial && session.transaction ? EndpointUse::Avoided : use;
    };
    const auto avoided = [&](const Placement &placement) {
        return useOf(placement) == EndpointUse::Avoided;
    };
    if (!std::all_of(placements_.begin(), placements_.end(), avoided)) {
        std::erase_if(placements_, avoided);
    }
}

void Pooler::Impl::rankPlacements(const CallerRequest &request)
{
    candidates_.clear();
    for (const auto &placement : placements_) {
        const auto &endpoint = *placement.endpoint;
        EndpointCandidate candidate;
        candidate.load = &endpoint.load;
        candidate.distanceCost = endpoint.distanceCost;
        if (!hasIdleConnection(endpoint, request.team)) {
            candidate.connectionCost =
                endpoint.isPrimary && isOversubscribed(endpoint) ? primaryOpeningCost : openingCost;
        }
        candidate.oldestWait = oldestWait(endpoint, now_);
        candidates_.push_back(candidate);
    }
    selector_.rank(candidates_, now_);
    for (std::size_t i = 0; i < placements_.size(); ++i) {
        auto &placement = placements_[i];
        // A trial that is due comes first, because the endpoint's share may be small.
        const auto trial = request.service->outliers.use(placement.endpoint->record.id, now_)
                           == EndpointUse::Trial;
        placement.cost = trial ? Duration{-1} : Duration{candidates_[i].rank};
    }
    std::sort(placements_.begin(), placements_.end(),
              [](const Placement &left, const Placement &right) { return left.cost < right.cost; });
}

void Pooler::Impl::beginTrial(const Placement &placement)
{
    if (!settings_.evenBalancing || placement.asPrimary) {
        return;
    }
    const auto &id = placement.endpoint->record.id;
    if (placement.endpoint->service->outliers.beginTrial(id, now_)) {
        log([&]() { return "[route] trial of the avoided endpoint " + id; });
    }
}

void Pooler::Impl::recordReadAnswer(PooledEndpoint &endpoint, const CallerRequest &request,
                                    AnswerKind kind)
{
    if (!settings_.evenBalancing || !isMovableRead(request)) {
        return;
    }
    switch (outcomeOf(kind)) {
    case StatementOutcome::NotRun:
        // See recordBusy(); the other kinds say nothing of the endpoint's load or health.
        return;
    case StatementOutcome::Ran:
        if (kind == AnswerKind::Success) {
            const auto expected = EndpointSelector::expectedLatency(
                endpoint.load, endpoint.distanceCost, lowestLatency(*endpoint.service));
            const auto latency = now_ - request.sentAt;
            endpoint.load.recordAnswer(latency, expected.value_or(latency), now_);
            recordOutcome(endpoint, EndpointOutcome::Served);
            return;
        }
        break;
    case StatementOutcome::Unknown:
        break;
    }
    // Failures are faster than answers and would otherwise attract further reads.
    endpoint.load.recordRefusal(now_);
    recordOutcome(endpoint, EndpointOutcome::Failed);
}

void Pooler::Impl::recordBusy(PooledEndpoint &endpoint)
{
    if (settings_.evenBalancing) {
        endpoint.load.recordRefusal(now_);
        recordOutcome(endpoint, EndpointOutcome::Refused);
    }
}

void Pooler::Impl::recordOverdueRead(PooledEndpoint &endpoint, CallerRequest &request, bool heard)
{
    if (!settings_.evenBalancing || !isMovableRead(request)) {
        return;
    }
    const auto timedOut = now_ >= request.runDeadline;
    if (std::exchange(request.overdueSentAt, request.sentAt) == request.sentAt && !timedOut) {
        // The deadlines for a probe and for a repetition are distinct.
        return;
    }
    endpoint.load.recordRefusal(now_);
    // An endpoint that answers other statements meanwhile is slow or overloaded. Avoiding it would
    // move its whole load to the others.
    if (!heard || timedOut) {
        recordOutcome(endpoint, EndpointOutcome::Hung);
    }
}

void Pooler::Impl::recordConnectionEnd(PooledEndpoint &endpoint, const PooledConnection &ended,
                                       ConnectionFailure reason)
{
    if (!settings_.evenBalancing || reason == ConnectionFailure::TooManyConnections
        || reason == ConnectionFailure::Misrouted) {
        return;
    }
    if (!ended.open) {
        recordOutcome(endpoint, EndpointOutcome::Failed);
    } else if (ended.owner != 0 || !ended.pending.empty()) {
        endpoint.load.recordRefusal(now_);
        recordOutcome(endpoint, EndpointOutcome::Reset);
    }
}

void Pooler::Impl::recordOutcome(PooledEndpoint &endpoint, EndpointOutcome outcome)
{
    const auto &id = endpoint.record.id;
    const auto change = endpoint.service->outliers.record(id, outcome, now_);
    if (change == OutlierChange::None) {
        return;
    }
    if (counters_) {
        ++counters_->outlierChanges[static_cast<std::size_t>(change)];
    }
    log([&]() {
        return "[route] " + endpoint.record.service + ": " + id + ": "
               + std::string{toString(change)};
    });
}

} // namespace hyssoprock
