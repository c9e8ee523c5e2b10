#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief A UDP socket that carries one frame per datagram.

namespace hyssoprock {

/// @brief Sends and receives frames over UDP. Datagrams that cannot be accepted are counted.
class DatagramSocket
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        std::function<void(const SocketAddress &, Frame)> frame{};           ///< A frame came.
        std::function<void(const SocketAddress &, const Error &)> refused{}; ///< A bad datagram.
    };

    /// @brief Does nothing until open().
    /// @param context I/O context.
    explicit DatagramSocket(boost::asio::io_context &context);
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;
    ~DatagramSocket();

    /// @brief Binds and begins to receive.
    /// @param address Where; port 0 picks a free one.
    /// @param handlers Called on the I/O thread.
    /// @return The address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, Handlers handlers);

    /// @brief Sends a frame; a full socket buffer drops it, as the network might.
    /// @param to Destination.
    /// @param bytes A whole frame, at most what a datagram holds; a larger one is dropped.
    void send(const SocketAddress &to, const std::string &bytes);

    /// @brief Stops receiving.
    void close();

private:
    void receive();
    void take(std::size_t bytes);

    static constexpr std::size_t inputBytes = 65536;

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_{};
    std::array<char, inputBytes> input_{};
    Handlers handlers_{};
    std::shared_ptr<DatagramSocket *> alive_;
};

} // namespace hyssoprock
