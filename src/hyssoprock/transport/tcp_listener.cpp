#include <hyssoprock/transport/tcp_listener.hpp>

#include <utility>

namespace hyssoprock {

namespace {

// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

} // namespace

TcpListener::TcpListener(boost::asio::io_context &context)
    : acceptor_{context}
    , retryTimer_{context}
    , alive_{std::make_shared<TcpListener *>(this)}
{}

TcpListener::~TcpListener()
{
    close();
}

Result<SocketAddress> TcpListener::open(const SocketAddress &address, AcceptCallback accepted)
{
    accepted_ = std::move(accepted);
    const boost::asio::ip::tcp::endpoint endpoint{boost::asio::ip::make_address(address.ip),
                                                  address.port};
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address{true}, error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(ErrorKind::Unreachable,
                       "cannot listen on " + toString(address) + ": " + error.message());
    }
    accept();
    return SocketAddress{address.ip, acceptor_.local_endpoint().port()};
}

void TcpListener::accept()
{
    acceptor_.async_accept([weak = std::weak_ptr{alive_}](const boost::system::error_code &error,
                                                          boost::asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !(*self)->acceptor_.is_open()) {
            return;
        }
        if (!error) {
            (*self)->accepted_(std::move(socket));
            (*self)->accept();
            return;
        }
        (*self)->retryTimer_.expires_after(acceptRetryDelay);
        (*self)->retryTimer_.async_wait([weak](const boost::system::error_code &cancelled) {
            const auto listener = weak.lock();
            if (!cancelled && listener) {
                (*listener)->accept();
            }
        });
    });
}

void TcpListener::close()
{
    retryTimer_.cancel();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

} // namespace hyssoprock
