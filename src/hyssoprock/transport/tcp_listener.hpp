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

/// @brief Accepts connections and hands the sockets out.
class TcpListener
{
public:
    /// @brief Called for each accepted socket.
    using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @brief Does nothing until open().
    /// @param context I/O context.
    explicit TcpListener(boost::asio::io_context &context);
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    ~TcpListener();

    /// @brief Listens.
    /// @param address Where; port 0 picks a free one.
    /// @param accepted Called on the I/O thread.
    /// @return The address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, Accepted accepted);

    /// @brief Accepts no more.
    void close();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    Accepted accepted_{};
    std::shared_ptr<TcpListener *> alive_;
};

} // namespace hyssoprock
