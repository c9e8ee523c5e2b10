#include <hyssoprock/pooling/pooler_counters.hpp>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

template <class Value>
constexpr std::size_t indexOf(Value value) noexcept
{
    return static_cast<std::size_t>(value);
}

RoutingRule ruleOf(const CallerRequest &request,
                   const std::optional<CallerTransaction> &transaction)
{
    const auto readOnly = transaction ? transaction->readOnly : !request.writes;
    if (!readOnly) {
        return RoutingRule::Write;
    }
    switch (request.route.readConsistency) {
    case ReadConsistency::Primary:
        return RoutingRule::Primary;
    case ReadConsistency::BoundedStaleness:
        return RoutingRule::BoundedStaleness;
    case ReadConsistency::ReadOwnWrites:
        return RoutingRule::ReadOwnWrites;
    }
    return RoutingRule::Primary;
}

} // namespace

const PoolerCounters *Pooler::counters() const noexcept
{
    return impl_->counters();
}

void Pooler::Impl::countEvent(const PoolerEvent &event)
{
    if (const auto *ended = std::get_if<pooler::ConnectionEnded>(&event)) {
        ++counters_->connectionsEnded[indexOf(ended->reason)];
    }
}

void Pooler::Impl::countActions()
{
    for (const auto &action : actions_) {
        if (const auto *refused = std::get_if<pooler::RefuseCaller>(&action)) {
            ++counters_->callerRefusals[indexOf(refused->kind)];
        } else if (std::holds_alternative<pooler::OpenConnection>(action)) {
            ++counters_->connectionsOpened;
        } else if (const auto *report = std::get_if<pooler::ReportEvidence>(&action)) {
            ++counters_->evidenceReports[indexOf(report->reachability)];
        }
    }
}

void Pooler::Impl::countAnswer(const CallerSession &session, AnswerKind kind)
{
    auto rule = RoutingRule::Local;
    auto target = AnsweringRole::None;
    if (session.request) {
        const auto &request = *session.request;
        rule = request.rule;
        target = request.answeredBy;
        counters_->latency[indexOf(rule)].add(now_ - request.receivedAt);
        counters_->retries += request.attempts > 1 ? request.attempts - 1 : 0;
    }
    ++counters_->statements[indexOf(rule)][indexOf(target)][indexOf(kind)];
}

void Pooler::Impl::recordRule(CallerSession &session)
{
    // Computed before the answer, because the end of a transaction resets the state that the rule
    // depends on.
    session.request->rule = ruleOf(*session.request, session.transaction);
}

void Pooler::Impl::recordAnsweredBy(CallerRequest &request, const PooledEndpoint *endpoint)
{
    request.answeredBy = endpoint == nullptr   ? AnsweringRole::None
                         : endpoint->isPrimary ? AnsweringRole::Primary
                                               : AnsweringRole::Replica;
}

void Pooler::Impl::countRefusal(AnswerKind kind)
{
    if (provesNotRun(kind)) {
        ++counters_->endpointRefusals[indexOf(kind)];
    }
}

} // namespace hyssoprock
