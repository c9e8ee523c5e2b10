#include <hyssoprock/failover/outbox.hpp>

#include <utility>

namespace hyssoprock {

CallId Outbox::call(const Member &member, EndpointRequest request, Duration timeout, Instant now)
{
    const auto id = ++lastCall_;
    const auto &announcement = member.announcement;
    pending_.emplace(id,
                     PendingCall{announcement.group, announcement.endpoint, request, now, timeout});
    add(CallEndpoint{id, announcement.endpoint, announcement.address, std::move(request), timeout});
    return id;
}

std::optional<PendingCall> Outbox::complete(CallId call)
{
    const auto found = pending_.find(call);
    if (found == pending_.end()) {
        return std::nullopt;
    }
    auto closed = std::move(found->second);
    pending_.erase(found);
    return closed;
}

std::vector<CallId> Outbox::overdueCalls(Instant now) const
{
    std::vector<CallId> calls;
    for (const auto &[id, call] : pending_) {
        if (call.sentAt + 2 * call.timeout < now) {
            calls.push_back(id);
        }
    }
    return calls;
}

CoordinatorActions Outbox::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace hyssoprock
