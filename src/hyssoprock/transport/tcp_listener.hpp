#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief A listening TCP socket.

namespace hyssoprock {

/// @brief Accepts TCP connections and passes the sockets to a callback.
class TcpListener
{
public:
    /// @brief Called for each accepted socket.
    using AcceptCallback = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @param context I/O context.
    explicit TcpListener(boost::asio::io_context &context);
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    ~TcpListener();

    /// @brief Starts listening.
    /// @param address Address to bind; port 0 selects a free port.
    /// @param accepted Called on the I/O thread.
    /// @return The address with the bound port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, AcceptCallback accepted);

    /// @brief Stops accepting connections.
    void close();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    AcceptCallback accepted_{};
    std::shared_ptr<TcpListener *> alive_;
};

} // namespace hyssoprock
