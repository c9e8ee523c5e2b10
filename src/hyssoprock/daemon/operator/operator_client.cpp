#include <hyssoprock/daemon/operator/operator_client.hpp>

#include <algorithm>
#include <thread>
#include <utility>

#include <hyssoprock/transport/frame_exchange.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// A change needs two disk writes and a round trip between data centres.
constexpr Duration attemptTimeout = std::chrono::seconds{2};
constexpr std::chrono::milliseconds retryDelay{50};

} // namespace

OperatorClient::OperatorClient(std::vector<NamedAddress> hosts, std::string operatorName,
                               Duration timeout)
    : hosts_{std::move(hosts)}
    , operatorName_{std::move(operatorName)}
    , timeout_{timeout}
{}

Result<OperatorResponse> OperatorClient::change(const OperatorRequest &request)
{
    return send<OperatorResponse>(request);
}

Result<StatusResponse> OperatorClient::status(const std::string &group)
{
    return send<StatusResponse>(StatusRequest{group});
}

template <class Response, class Request>
Result<Response> OperatorClient::send(const Request &request)
{
    const auto deadline = monotonicNow() + timeout_;
    const auto bytes = frameOf(HandshakeRequest{operatorName_, "operator"}) + frameOf(request);
    Error last{ErrorKind::Unreachable, "no control host answers"};
    for (auto now = monotonicNow(); now < deadline; now = monotonicNow()) {
        const auto frame = exchangeFrames(hosts_[current_].address, bytes,
                                          std::min(attemptTimeout, deadline - now));
        if (frame.has_value() && holds<ErrorResponse>(frame.value())) {
            const auto refused = decodeMessage<ErrorResponse>(frame.value());
            if (refused.has_value()) {
                return failure(refused.value().kind, refused.value().detail);
            }
        }
        auto response = frame.has_value() ? decodeMessage<Response>(frame.value())
                                          : Result<Response>{frame.as_failure()};
        if (response.has_value() && response.value().kind != ErrorKind::NotLeader) {
            return response;
        }
        if (response.has_error()) {
            last = Error{ErrorKind::Unreachable, response.error().detail};
        } else {
            last = Error{ErrorKind::Unreachable, "no control host leads"};
        }
        const auto previous = current_;
        selectHost(response.has_value() ? response.value().leader : std::string{});
        if (response.has_error() || previous == current_) {
            std::this_thread::sleep_for(retryDelay);
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::failure(last);
}

void OperatorClient::selectHost(const std::string &leader)
{
    const auto found = std::find_if(hosts_.begin(), hosts_.end(), [&](const NamedAddress &host) {
        return !leader.empty() && host.name == leader;
    });
    const auto hinted = static_cast<std::size_t>(found - hosts_.begin());
    current_ =
        found != hosts_.end() && hinted != current_ ? hinted : (current_ + 1) % hosts_.size();
}

} // namespace hyssoprock
