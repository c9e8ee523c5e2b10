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
/// @brief Frames over UDP, one per datagram.

namespace hyssoprock {

/// @brief Sends and receives frames over UDP. Invalid datagrams are passed to Handlers::refused.
class DatagramSocket
{
public:
    /// @brief Event callbacks of the owner.
    struct Handlers
    {
        std::function<void(const SocketAddress &, Frame)> frame{};           ///< Received a frame.
        std::function<void(const SocketAddress &, const Error &)> refused{}; ///< Invalid datagram.
    };

    /// @param context I/O context.
    explicit DatagramSocket(boost::asio::io_context &context);
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;
    ~DatagramSocket();

    /// @brief Binds the socket and starts receiving.
    /// @param address Address to bind; port 0 selects a free port.
    /// @param handlers Called on the I/O thread.
    /// @return The address with the bound port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, Handlers handlers);

    /// @brief Sends a frame. Delivery is not guaranteed; the frame is dropped if the socket's
    /// buffer is full.
    /// @param to Destination.
    /// @param bytes Complete frame; dropped if it does not fit into a datagram.
    void send(const SocketAddress &to, const std::string &bytes);

    /// @brief Stops receiving.
    void close();

private:
    void receive();
    void handleDatagram(std::size_t bytes);

    static constexpr std::size_t inputBytes = 65536;

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_{};
    std::array<char, inputBytes> input_{};
    Handlers handlers_{};
    std::shared_ptr<DatagramSocket *> alive_;
};

} // namespace hyssoprock
