#include <hyssoprock/daemon/operator_client.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/transport/frame_connection.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Time for one attempt. A change needs two disk writes and a round trip between data centres.
constexpr Duration attemptTimeout = std::chrono::seconds{2};
constexpr std::chrono::milliseconds retryPause{50};

} // namespace

OperatorClient::OperatorClient(std::vector<NamedAddress> hosts, std::string operatorName,
                               Duration timeout)
    : hosts_{std::move(hosts)}
    , operatorName_{std::move(operatorName)}
    , timeout_{timeout}
{}

Result<OperatorResponse> OperatorClient::change(const OperatorRequest &request)
{
    return ask<OperatorResponse>(request);
}

Result<StatusResponse> OperatorClient::status(const std::string &group)
{
    return ask<StatusResponse>(StatusRequest{group});
}

template <class Response, class Request>
Result<Response> OperatorClient::ask(const Request &request)
{
    const auto deadline = monotonicNow() + timeout_;
    const auto bytes = frameOf(HandshakeRequest{operatorName_, "operator"}) + frameOf(request);
    Error last{ErrorKind::Unreachable, "no control host answers"};
    for (auto now = monotonicNow(); now < deadline; now = monotonicNow()) {
        const auto frame =
            exchange(hosts_[current_], bytes, std::min(attemptTimeout, deadline - now));
        if (frame.has_value() && holds<ErrorResponse>(frame.value())) {
            const auto refused = messageIn<ErrorResponse>(frame.value());
            if (refused.has_value()) {
                return failure(refused.value().kind, refused.value().detail);
            }
        }
        auto response = frame.has_value() ? messageIn<Response>(frame.value())
                                          : Result<Response>{frame.as_failure()};
        if (response.has_value() && response.value().kind != ErrorKind::NotLeader) {
            return response;
        }
        if (response.has_error()) {
            last = Error{ErrorKind::Unreachable, response.error().detail};
        } else {
            last = Error{ErrorKind::Unreachable, "no control host leads"};
        }
        const auto before = current_;
        goTo(response.has_value() ? response.value().leader : std::string{});
        if (response.has_error() || before == current_) {
            std::this_thread::sleep_for(retryPause);
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::failure(last);
}

void OperatorClient::goTo(const std::string &leader)
{
    const auto found = std::find_if(hosts_.begin(), hosts_.end(), [&](const NamedAddress &host) {
        return !leader.empty() && host.name == leader;
    });
    const auto hinted = static_cast<std::size_t>(found - hosts_.begin());
    current_ =
        found != hosts_.end() && hinted != current_ ? hinted : (current_ + 1) % hosts_.size();
}

Result<Frame> OperatorClient::exchange(const NamedAddress &host, const std::string &bytes,
                                       Duration timeout) const
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    Result<Frame> result = failure(ErrorKind::Unreachable, toString(host.address) + " is silent");
    std::shared_ptr<FrameConnection> connection;
    socket.async_connect({boost::asio::ip::make_address(host.address.ip), host.address.port},
                         [&](const boost::system::error_code &error) {
                             if (error) {
                                 result = failure(ErrorKind::Unreachable,
                                                  toString(host.address) + ": " + error.message());
                                 context.stop();
                                 return;
                             }
                             connection = std::make_shared<FrameConnection>(std::move(socket),
                                                                            StreamLimits{});
                             FrameConnection::Handlers handlers;
                             handlers.frame = [&](Frame frame) {
                                 result = std::move(frame);
                                 context.stop();
                             };
                             handlers.closed = [&](const Error &why) {
                                 result = BOOST_OUTCOME_V2_NAMESPACE::failure(why);
                                 context.stop();
                             };
                             connection->start(std::move(handlers));
                             connection->send(bytes);
                         });
    context.run_for(timeout);
    if (connection) {
        connection->close();
        // Runs the callbacks that hold the connection, so that it is destroyed here.
        context.restart();
        context.poll();
    }
    return result;
}

} // namespace hyssoprock
