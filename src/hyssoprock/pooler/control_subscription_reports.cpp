#include <utility>

#include <hyssoprock/pooler/control_subscription.hpp>

namespace hyssoprock {

void ControlSubscription::sendReports(Instant now)
{
    if (!usageSource_ || !reportSchedule_.isDue(now)) {
        return;
    }
    auto use = usageSource_();
    EntryReport current;
    current.documentVersion = documentVersion();
    current.sessions = use.sessions;
    current.waiting = std::move(use.waiting);
    current.connections = std::move(use.connections);
    for (const auto &[ip, report] : reportSchedule_.takeDueReports(current, now)) {
        if (const auto host = controlHosts_.find(ip); host != controlHosts_.end()) {
            host->second.client->send(report);
        }
    }
}

} // namespace hyssoprock
