#include <hyssoprock/routing/endpoint_table.hpp>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

const EndpointEntry &EndpointTable::find(std::string_view endpoint) const
{
    static const EndpointEntry nothing;
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nothing : found->second;
}

EndpointEntry &EndpointTable::entry(std::string_view endpoint)
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end()
               ? endpoints_.emplace(std::string{endpoint}, EndpointEntry{}).first->second
               : found->second;
}

void EndpointTable::recordReport(std::string_view endpoint, const EndpointReport &report,
                                 Instant sent, Instant now, std::optional<Duration> lag)
{
    auto &knowledge = entry(endpoint);
    knowledge.lastAnswer = now;
    if (!knowledge.reportSent || sent >= *knowledge.reportSent) {
        knowledge.report = report;
        knowledge.reportSent = sent;
        knowledge.replicaLag = lag;
    }
}

void EndpointTable::recordAcquired(std::string_view endpoint)
{
    ++entry(endpoint).inFlight;
}

void EndpointTable::recordReleased(std::string_view endpoint)
{
    auto &knowledge = entry(endpoint);
    check(knowledge.inFlight > 0, "a connection is given back once");
    --knowledge.inFlight;
}

void EndpointTable::setEjected(std::string_view endpoint, bool ejected)
{
    entry(endpoint).ejected = ejected;
}

void EndpointTable::forgetPosition(std::string_view endpoint)
{
    auto &knowledge = entry(endpoint);
    knowledge.report = {};
    knowledge.reportSent.reset();
    knowledge.lastAnswer.reset();
    knowledge.replicaLag.reset();
}

} // namespace hyssoprock
