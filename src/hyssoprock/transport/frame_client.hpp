#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/frame_connection.hpp>

/// @file
/// @brief Client side of a framed TCP connection that reconnects automatically.

namespace hyssoprock {

/// @brief Keeps one connection to a process open. The first frame identifies this process.
class FrameClient
{
public:
    /// @brief Event callbacks of the owner.
    struct Handlers
    {
        std::function<void()> connected{};  ///< Connected; the first frame is queued.
        std::function<void(Frame)> frame{}; ///< Received a frame.
        std::function<void(const Error &)> disconnected{}; ///< Lost, or could not be opened.
    };

    /// @brief Prepares the client; it connects on start().
    /// @param context I/O context.
    /// @param address Address of the server; must hold a valid IP address.
    /// @param handshake First frame of each connection.
    /// @param seed Seed of the jitter of the reconnect delay.
    FrameClient(boost::asio::io_context &context, SocketAddress address,
                const HandshakeRequest &handshake, std::uint64_t seed);

    /// @brief Prepares the client; it connects on start().
    /// @param context I/O context.
    /// @param address Address of the server; must hold a valid IP address.
    /// @param firstFrame Called for each connection; returns its first frame.
    /// @param seed Seed of the jitter of the reconnect delay.
    FrameClient(boost::asio::io_context &context, SocketAddress address,
                std::function<std::string()> firstFrame, std::uint64_t seed);
    FrameClient(const FrameClient &) = delete;
    FrameClient &operator=(const FrameClient &) = delete;
    ~FrameClient();

    /// @brief Opens the connection and keeps it open.
    /// @param handlers Called on the I/O thread.
    void start(Handlers handlers);

    /// @brief Sends a message if connected.
    /// @param message Any message that has a frame type.
    /// @return Whether it was queued; false while there is no connection.
    template <class Message>
    bool send(const Message &message)
    {
        if (!isUp()) {
            return false;
        }
        connection_->sendMessage(message);
        return true;
    }

    /// @brief Sends a frame if connected.
    /// @param frame Encoded by sharedFrameOf().
    /// @return Whether it was queued; false while there is no connection.
    bool send(const SharedFrame &frame)
    {
        if (!isUp()) {
            return false;
        }
        connection_->send(frame);
        return true;
    }

    /// @brief Sets the limits of each connection; call before start().
    void setLimits(StreamLimits limits) noexcept { limits_ = limits; }

    /// @brief Whether a frame has been received only in part.
    [[nodiscard]] bool hasPartialFrame() const noexcept
    {
        return connection_ && connection_->hasPartialFrame();
    }

    /// @brief Time at which bytes were last received on the current connection.
    /// @return Instant{} if there is no connection.
    [[nodiscard]] Instant receivedAt() const noexcept
    {
        return connection_ ? connection_->receivedAt() : Instant{};
    }

    /// @brief Whether the client is connected, so that messages can be sent.
    [[nodiscard]] bool isUp() const noexcept { return connection_ && connection_->isOpen(); }

    /// @brief Closes the current connection, if any, and opens a new one after a delay.
    /// @param reason Passed to Handlers::disconnected.
    void reconnect(const Error &reason);

    /// @brief Closes the connection without reconnecting.
    void stop();

    [[nodiscard]] const SocketAddress &address() const noexcept { return address_; }

private:
    struct Attempt;

    void connect();
    void handleConnected(boost::asio::ip::tcp::socket socket);
    void scheduleRetry(const Error &error);

    boost::asio::io_context &context_;
    SocketAddress address_;
    std::function<std::string()> firstFrame_;
    RandomSource random_;
    boost::asio::steady_timer retryTimer_;
    Handlers handlers_{};
    std::shared_ptr<FrameConnection> connection_{};
    std::shared_ptr<Attempt> attempt_{};
    Duration backoff_;
    StreamLimits limits_{};
    bool stopped_ = false;
    /// Asynchronous callbacks hold a weak reference, so that none runs after destruction.
    std::shared_ptr<FrameClient *> alive_;
};

} // namespace hyssoprock
