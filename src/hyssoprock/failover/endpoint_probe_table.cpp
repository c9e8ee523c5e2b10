#include <hyssoprock/failover/endpoint_probe_table.hpp>

namespace hyssoprock {

EndpointProbe &EndpointProbeTable::at(std::string_view endpoint, Instant now)
{
    const auto found = probes_.find(endpoint);
    if (found != probes_.end()) {
        return found->second;
    }
    auto &probe = probes_[std::string{endpoint}];
    probe.respondedAt = now;
    return probe;
}

const EndpointProbe *EndpointProbeTable::find(std::string_view endpoint) const
{
    const auto found = probes_.find(endpoint);
    return found == probes_.end() ? nullptr : &found->second;
}

void EndpointProbeTable::handleCallSuccess(std::string_view endpoint,
                                           const EndpointCallResponse &response,
                                           Instant requestSentAt, Instant now)
{
    auto &probe = at(endpoint, now);
    probe.callPending = false;
    probe.reachable = true;
    probe.status = response;
    probe.requestSentAt = requestSentAt;
    probe.respondedAt = now;
}

void EndpointProbeTable::handleCallFailure(std::string_view endpoint, Instant now)
{
    auto &probe = at(endpoint, now);
    probe.callPending = false;
    probe.reachable = false;
}

} // namespace hyssoprock
