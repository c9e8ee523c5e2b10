#include <hyssoprock/failover/endpoint_probe_table.hpp>

namespace hyssoprock {

EndpointProbe &EndpointProbeTable::at(std::string_view endpoint, Instant now)
{
    const auto found = probes_.find(endpoint);
    if (found != probes_.end()) {
        return found->second;
    }
    auto &probe = probes_[std::string{endpoint}];
    probe.answeredAt = now;
    return probe;
}

const EndpointProbe *EndpointProbeTable::find(std::string_view endpoint) const
{
    const auto found = probes_.find(endpoint);
    return found == probes_.end() ? nullptr : &found->second;
}

void EndpointProbeTable::answered(std::string_view endpoint, const EndpointCallResponse &report,
                                  Instant askedAt, Instant now)
{
    auto &probe = at(endpoint, now);
    probe.open = false;
    probe.reachable = true;
    probe.report = report;
    probe.askedAt = askedAt;
    probe.answeredAt = now;
}

void EndpointProbeTable::failed(std::string_view endpoint, Instant now)
{
    auto &probe = at(endpoint, now);
    probe.open = false;
    probe.reachable = false;
}

} // namespace hyssoprock
