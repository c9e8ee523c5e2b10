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
                                 Instant sentAt, Instant now, std::optional<Duration> lag)
{
    auto &record = entry(endpoint);
    record.lastAnswerAt = now;
    if (!record.reportSentAt || sentAt >= *record.reportSentAt) {
        record.report = report;
        record.reportSentAt = sentAt;
        record.replicaLag = lag;
    }
}

void EndpointTable::recordAcquired(std::string_view endpoint)
{
    ++entry(endpoint).inFlight;
}

void EndpointTable::recordReleased(std::string_view endpoint)
{
    auto &record = entry(endpoint);
    check(record.inFlight > 0, "a connection is released only once");
    --record.inFlight;
}

void EndpointTable::setEjected(std::string_view endpoint, bool ejected)
{
    entry(endpoint).ejected = ejected;
}

void EndpointTable::forgetPosition(std::string_view endpoint)
{
    auto &record = entry(endpoint);
    record.report = {};
    record.reportSentAt.reset();
    record.lastAnswerAt.reset();
    record.replicaLag.reset();
}

} // namespace hyssoprock
