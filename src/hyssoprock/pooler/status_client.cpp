#include <hyssoprock/pooler/status_client.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/message/control.hpp>
#include <hyssoprock/transport/frame_exchange.hpp>

namespace hyssoprock {

namespace {

Result<PooledStatusResponse> requestStatus(const SocketAddress &host,
                                           const std::string &operatorName, Duration timeout,
                                           bool anyHost)
{
    const auto bytes =
        frameOf(HandshakeRequest{operatorName, "operator"}) + frameOf(PooledStatusRequest{anyHost});
    const auto frame = exchangeFrames(
        host, bytes, timeout, [](const Frame &received) { return !holds<KeepAlive>(received); });
    if (frame.has_error()) {
        return failure(ErrorKind::Unreachable, frame.error().detail);
    }
    if (holds<ErrorResponse>(frame.value())) {
        const auto refused = decodeMessage<ErrorResponse>(frame.value());
        if (refused.has_value()) {
            return failure(refused.value().kind,
                           toString(host) + " refused the request: " + refused.value().detail);
        }
    }
    auto response = decodeMessage<PooledStatusResponse>(frame.value());
    if (response.has_error()) {
        return failure(response.error().kind, toString(host) + ": " + response.error().detail);
    }
    return response;
}

} // namespace

Result<PooledStatusResponse> requestPooledStatus(const std::vector<SocketAddress> &hosts,
                                                 const std::string &operatorName, Duration timeout)
{
    Result<PooledStatusResponse> last = failure(ErrorKind::Unreachable, "no control host answered");
    auto queue = hosts;
    std::vector<SocketAddress> followers;
    for (std::size_t next = 0; next < queue.size(); ++next) {
        const auto host = queue[next];
        auto answer = requestStatus(host, operatorName, timeout, false);
        if (answer.has_value() && answer.value().kind == ErrorKind::None) {
            return answer;
        }
        if (answer.has_error()) {
            last = std::move(answer);
            continue;
        }
        followers.push_back(host);
        const SocketAddress leader{answer.value().leader, host.port};
        if (!leader.ip.empty() && std::find(queue.begin(), queue.end(), leader) == queue.end()) {
            queue.push_back(leader);
        }
    }
    // No leader answered, so the status of a follower is requested.
    for (const auto &host : followers) {
        auto answer = requestStatus(host, operatorName, timeout, true);
        if (answer.has_value()) {
            return answer;
        }
        last = std::move(answer);
    }
    return last;
}

} // namespace hyssoprock
