#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/transport/frame.hpp>
#include <hyssoprock/transport/stream_watch.hpp>

/// @file
/// @brief A TCP connection that carries frames.

namespace hyssoprock {

/// @brief Sends and receives frames on a connected socket. Used on one I/O thread.
///
/// Closes on the first error. A peer whose frame cannot be accepted gets an ErrorResponse first.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        std::function<void(Frame)> frame{};          ///< A frame has arrived.
        std::function<void(const Error &)> closed{}; ///< Called once, unless close() was called.
    };

    /// @brief Takes a connected socket.
    /// @param socket The socket.
    /// @param limits Bounds for a slow peer.
    FrameConnection(boost::asio::ip::tcp::socket socket, StreamLimits limits);
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;
    ~FrameConnection() = default;

    /// @brief Begins to read.
    /// @param handlers Called on the I/O thread.
    void start(Handlers handlers);

    /// @brief Queues a frame. Does nothing once the connection is closed.
    /// @param bytes A whole frame, as frameOf() gives it.
    void send(std::string bytes);

    /// @brief Queues a frame that other connections may have queued as well.
    /// @param frame A whole frame, as sharedFrameOf() gives it.
    void send(SharedFrame frame);

    /// @brief Frames that wait for the peer, including the one that is being written.
    [[nodiscard]] const std::deque<SharedFrame> &queued() const noexcept { return output_; }

    /// @brief Bytes that wait for the peer.
    [[nodiscard]] std::size_t queuedBytes() const noexcept { return watch_.outputBytes(); }

    /// @brief Whether a frame has begun to arrive and has not ended.
    [[nodiscard]] bool midFrame() const noexcept { return reader_.midFrame(); }

    /// @brief When bytes of the peer last arrived. A large frame takes a while on a slow link.
    [[nodiscard]] Instant receivedAt() const noexcept { return receivedAt_; }

    /// @brief Queues a message.
    /// @param message Any message that has a frame type.
    template <class Message>
    void sendMessage(const Message &message)
    {
        send(frameOf(message));
    }

    /// @brief Closes without calling the handlers again.
    void close();

    /// @brief Whether frames can still be sent.
    /// @return False after an error or close().
    [[nodiscard]] bool isOpen() const noexcept { return open_; }

    /// @brief Address of the peer for logs.
    /// @return IP number and port, or "unknown" if the peer is gone.
    [[nodiscard]] std::string peer() const;

private:
    void read();
    void takeFrames(std::size_t bytes);
    void write();
    void armTimer();
    void refuse(const Error &error);
    void fail(const Error &error);

    static constexpr std::size_t readBytes = 65536;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    StreamWatch watch_;
    FrameReader reader_{};
    Handlers handlers_{};
    std::array<char, readBytes> input_{};
    std::deque<SharedFrame> output_{};
    std::size_t written_ = 0; ///< Bytes of the first queued frame that were written.
    Instant receivedAt_{};
    bool writing_ = false;
    bool open_ = true;
    bool closeAfterWrite_ = false;
    Error closeReason_{};
};

} // namespace hyssoprock
