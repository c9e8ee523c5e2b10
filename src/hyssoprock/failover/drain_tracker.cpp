#include <hyssoprock/failover/drain_tracker.hpp>

namespace hyssoprock {

std::optional<CatalogCommand> DrainTracker::step(const GroupView &view,
                                                 const FailoverContext &context, Instant now)
{
    for (const auto &member : view.members) {
        const auto &name = member.announcement.endpoint;
        if (member.state != EndpointState::Draining || name == view.primary
            || view.state == GroupState::Electing) {
            draining_.erase(name);
            continue;
        }
        auto [entry, isNew] = draining_.try_emplace(
            name, Drain{view.version, ViewBarrier{context.leases, view.version, now}});
        auto &drain = entry->second;
        if (drain.wait.done(context.leases, now)
            && context.leases.allHostsReport(&HostLease::drained, name, drain.version, now)) {
            context.outbox.log(view.group + ": " + name
                               + " is stopped, no host with a lease has work there");
            return CatalogCommand{MarkStopped{name}};
        }
    }
    return std::nullopt;
}

} // namespace hyssoprock
