#include <hyssoprock/failover/outbox.hpp>

#include <utility>

namespace hyssoprock {

CallId Outbox::call(const Member &member, EndpointRequest request, Duration timeout, Instant now)
{
    const auto id = ++lastCall_;
    const auto &announcement = member.announcement;
    open_.emplace(id, OpenCall{announcement.group, announcement.endpoint, request, now, timeout});
    add(CallEndpoint{id, announcement.endpoint, announcement.address, std::move(request), timeout});
    return id;
}

std::optional<OpenCall> Outbox::close(CallId call)
{
    const auto found = open_.find(call);
    if (found == open_.end()) {
        return std::nullopt;
    }
    auto closed = std::move(found->second);
    open_.erase(found);
    return closed;
}

std::vector<CallId> Outbox::overdue(Instant now) const
{
    std::vector<CallId> calls;
    for (const auto &[id, call] : open_) {
        if (call.sentAt + 2 * call.timeout < now) {
            calls.push_back(id);
        }
    }
    return calls;
}

CoordinatorActions Outbox::take()
{
    return std::exchange(actions_, {});
}

} // namespace hyssoprock
