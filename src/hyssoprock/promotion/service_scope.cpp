#include <hyssoprock/promotion/service_scope.hpp>

namespace hyssoprock::internal {

namespace {

constexpr int freshHeartbeatIntervals = 4;

} // namespace

std::uint32_t ServiceScope::synchronousReplicas() const
{
    const auto found = controller_.synchronousReplicas.find(service_);
    return found == controller_.synchronousReplicas.end() ? 0 : found->second;
}

Instant ServiceScope::freshUntil(const KnownEndpoint &endpoint) const
{
    return endpoint.lastHeartbeatAt
           + freshHeartbeatIntervals * controller_.registry.heartbeatInterval();
}

std::uint64_t ServiceScope::propose(ControlCommand command)
{
    addAction(promotion::Propose{++controller_.lastProposalId, std::move(command)});
    return controller_.lastProposalId;
}

void ServiceScope::log(const std::string &text)
{
    addAction(promotion::LogDecision{"[failover] service " + service_ + ": " + text});
}

void ServiceScope::evaluateBy(Instant at)
{
    if (!deadline_ || at < *deadline_) {
        deadline_ = at;
    }
}

} // namespace hyssoprock::internal
