#include <hyssoprock/pooler/control_process.hpp>
#include <hyssoprock/pooler/pooler_metrics.hpp>

namespace hyssoprock {

std::string ControlProcess::metricsText()
{
    // Entry hosts send reports only while they are requested.
    node_.requestReports();
    ControlMetricsInput input;
    input.status = node_.groupStatus();
    input.status.endpoints = statusCollector_.cachedStatus();
    input.leading = node_.isLeader();
    input.logBytes = node_.logBytes();
    input.entryHosts = node_.entryHostCount();
    input.documentsStored = documentsStored_;
    input.promotions = &promotionMetrics_.counters();
    return controlMetrics(input);
}

} // namespace hyssoprock
