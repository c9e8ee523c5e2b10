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
/// @brief A framed TCP connection that is opened again whenever it breaks.

namespace hyssoprock {

/// @brief Keeps one connection to a process. The first frame introduces this process.
class FrameClient
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        std::function<void()> up{};                ///< Connected, the handshake is queued.
        std::function<void(Frame)> frame{};        ///< A frame has arrived.
        std::function<void(const Error &)> down{}; ///< Broken, or could not be opened.
    };

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param address Where to connect.
    /// @param handshake First frame of each connection.
    /// @param seed Seed of the jitter between attempts.
    FrameClient(boost::asio::io_context &context, SocketAddress address,
                const HandshakeRequest &handshake, std::uint64_t seed);

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param address Where to connect; its IP number must be valid.
    /// @param firstFrame Called for each connection; gives its first frame.
    /// @param seed Seed of the jitter between attempts.
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
    /// @param frame As sharedFrameOf() gives it.
    /// @return Whether it was queued; false while there is no connection.
    bool send(const SharedFrame &frame)
    {
        if (!isUp()) {
            return false;
        }
        connection_->send(frame);
        return true;
    }

    /// @brief Bounds of later connections; called before start().
    void setLimits(StreamLimits limits) noexcept { limits_ = limits; }

    /// @brief Whether a frame has begun to arrive and has not ended.
    [[nodiscard]] bool midFrame() const noexcept { return connection_ && connection_->midFrame(); }

    /// @brief When bytes last arrived on the present connection.
    /// @return The earliest point if there is no connection.
    [[nodiscard]] Instant receivedAt() const noexcept
    {
        return connection_ ? connection_->receivedAt() : Instant{};
    }

    /// @brief Whether messages can be sent.
    /// @return True while connected.
    [[nodiscard]] bool isUp() const noexcept { return connection_ && connection_->isOpen(); }

    /// @brief Closes the present connection, if any, and opens a new one.
    /// @param reason Passed to Handlers::down.
    void reconnect(const Error &reason);

    /// @brief Closes for good.
    void stop();

    /// @brief Address that was given.
    /// @return The address.
    [[nodiscard]] const SocketAddress &address() const noexcept { return address_; }

private:
    struct Attempt;

    void connect();
    void connected(boost::asio::ip::tcp::socket socket);
    void retryLater(const Error &error);

    boost::asio::io_context &context_;
    SocketAddress address_;
    std::function<std::string()> firstFrame_;
    RandomSource random_;
    boost::asio::steady_timer timer_;
    Handlers handlers_{};
    std::shared_ptr<FrameConnection> connection_{};
    std::shared_ptr<Attempt> attempt_{};
    Duration backoff_;
    StreamLimits limits_{};
    bool stopped_ = false;
    /// Callbacks of the event loop hold a weak reference, so that none runs after destruction.
    std::shared_ptr<FrameClient *> alive_;
};

} // namespace hyssoprock
