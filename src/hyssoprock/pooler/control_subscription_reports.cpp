#include <utility>

#include <hyssoprock/pooler/control_subscription.hpp>

namespace hyssoprock {

void ControlSubscription::sendReports(Instant now)
{
    if (!use_ || !reports_.isDue(now)) {
        return;
    }
    auto use = use_();
    EntryReport current;
    current.documentVersion = documentVersion();
    current.sessions = use.sessions;
    current.waiting = std::move(use.waiting);
    current.connections = std::move(use.connections);
    for (const auto &[ip, report] : reports_.takeDueReports(current, now)) {
        if (const auto host = hosts_.find(ip); host != hosts_.end()) {
            host->second.client->send(report);
        }
    }
}

} // namespace hyssoprock
