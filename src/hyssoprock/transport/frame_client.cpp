#include <hyssoprock/transport/frame_client.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Connecting takes less than 50 ms on these links. If packets are dropped silently, an attempt
// would otherwise never end.
constexpr Duration connectTimeout = std::chrono::milliseconds{500};
constexpr Duration backoffMin = std::chrono::milliseconds{20};
constexpr Duration backoffMax = std::chrono::milliseconds{200};

boost::asio::ip::tcp::endpoint toTcpEndpoint(const SocketAddress &address)
{
    return {boost::asio::ip::make_address(address.ip), address.port};
}

} // namespace

struct FrameClient::Attempt
{
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    bool done = false;
};

FrameClient::FrameClient(boost::asio::io_context &context, SocketAddress address,
                         const HandshakeRequest &handshake, std::uint64_t seed)
    : FrameClient{context, std::move(address), [frame = frameOf(handshake)]() { return frame; },
                  seed}
{}

FrameClient::FrameClient(boost::asio::io_context &context, SocketAddress address,
                         std::function<std::string()> firstFrame, std::uint64_t seed)
    : context_{context}
    , address_{std::move(address)}
    , firstFrame_{std::move(firstFrame)}
    , random_{seed}
    , retryTimer_{context}
    , backoff_{backoffMin}
    , alive_{std::make_shared<FrameClient *>(this)}
{}

FrameClient::~FrameClient()
{
    stop();
}

void FrameClient::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    connect();
}

void FrameClient::connect()
{
    attempt_ = std::make_shared<Attempt>(
        Attempt{boost::asio::ip::tcp::socket{context_}, boost::asio::steady_timer{context_}});
    const auto finish = [weak = std::weak_ptr{alive_},
                         attempt = attempt_](const boost::system::error_code &error) {
        if (std::exchange(attempt->done, true)) {
            return;
        }
        attempt->timer.cancel();
        const auto self = weak.lock();
        if (!self || (*self)->stopped_) {
            return;
        }
        if (error) {
            boost::system::error_code ignored;
            attempt->socket.close(ignored);
            (*self)->scheduleRetry(Error{ErrorKind::Unreachable, error.message()});
        } else {
            (*self)->handleConnected(std::move(attempt->socket));
        }
    };
    attempt_->timer.expires_after(connectTimeout);
    attempt_->timer.async_wait([finish](const boost::system::error_code &error) {
        if (!error) {
            finish(boost::asio::error::timed_out);
        }
    });
    attempt_->socket.async_connect(toTcpEndpoint(address_), finish);
}

void FrameClient::handleConnected(boost::asio::ip::tcp::socket socket)
{
    attempt_.reset();
    backoff_ = backoffMin;
    connection_ = std::make_shared<FrameConnection>(std::move(socket), limits_);
    FrameConnection::Handlers handlers;
    handlers.frame = [this](Frame frame) { handlers_.frame(std::move(frame)); };
    handlers.closed = [this](const Error &error) {
        connection_.reset();
        scheduleRetry(error);
    };
    connection_->start(std::move(handlers));
    connection_->send(firstFrame_());
    if (handlers_.connected) {
        handlers_.connected();
    }
}

void FrameClient::scheduleRetry(const Error &error)
{
    if (stopped_) {
        return;
    }
    retryTimer_.expires_after(random_.between(backoff_ / 2, backoff_));
    backoff_ = std::min(backoff_ * 2, backoffMax);
    retryTimer_.async_wait([weak = std::weak_ptr{alive_}](const boost::system::error_code &failed) {
        const auto self = weak.lock();
        if (!failed && self && !(*self)->stopped_) {
            (*self)->connect();
        }
    });
    if (handlers_.disconnected) {
        handlers_.disconnected(error);
    }
}

void FrameClient::reconnect(const Error &reason)
{
    if (!connection_) {
        return;
    }
    connection_->close();
    connection_.reset();
    scheduleRetry(reason);
}

void FrameClient::stop()
{
    stopped_ = true;
    retryTimer_.cancel();
    if (attempt_ && !attempt_->done) {
        attempt_->done = true;
        attempt_->timer.cancel();
        boost::system::error_code ignored;
        attempt_->socket.close(ignored);
    }
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
}

} // namespace hyssoprock
