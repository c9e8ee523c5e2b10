#include <hyssoprock/promotion/service_context.hpp>

namespace hyssoprock::internal {

namespace {

constexpr int freshIntervals = 4;

} // namespace

std::uint32_t ServiceScope::synchronous() const
{
    const auto found = context_.synchronousReplicas.find(service_);
    return found == context_.synchronousReplicas.end() ? 0 : found->second;
}

Instant ServiceScope::freshUntil(const KnownEndpoint &endpoint) const
{
    return endpoint.lastHeartbeatAt + freshIntervals * context_.registry.heartbeatInterval();
}

std::uint64_t ServiceScope::propose(ControlCommand command)
{
    act(promotion::Propose{++context_.lastProposal, std::move(command)});
    return context_.lastProposal;
}

void ServiceScope::log(const std::string &text)
{
    act(promotion::LogDecision{"[failover] service " + service_ + ": " + text});
}

void ServiceScope::wakeAt(Instant at)
{
    if (!deadline_ || at < *deadline_) {
        deadline_ = at;
    }
}

} // namespace hyssoprock::internal
