#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/transport/frame.hpp>
#include <hyssoprock/transport/stream_watch.hpp>

/// @file
/// @brief Framed messages over one TCP connection.

namespace hyssoprock {

/// @brief Sends and receives frames on a connected socket. Not thread-safe: use on one I/O thread.
///
/// Closes on the first error. A peer that sent an invalid frame is sent an ErrorResponse first.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    /// @brief Event callbacks of the owner.
    struct Handlers
    {
        std::function<void(Frame)> frame{};          ///< Received a frame.
        std::function<void(const Error &)> closed{}; ///< Called once, unless close() was called.
        /// The input buffer occupies a different number of bytes. Optional.
        std::function<void(std::size_t)> buffered{};
    };

    /// @brief Takes ownership of a connected socket.
    /// @param socket Connected socket.
    /// @param limits Timeouts and buffer limits.
    FrameConnection(boost::asio::ip::tcp::socket socket, StreamLimits limits);
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;
    ~FrameConnection() = default;

    /// @brief Starts reading.
    /// @param handlers Called on the I/O thread.
    void start(Handlers handlers);

    /// @brief Queues a frame. Does nothing once the connection is closed.
    /// @param bytes Complete frame, encoded by frameOf().
    void send(std::string bytes);

    /// @brief Queues a frame that is shared with other connections.
    /// @param frame Complete frame, encoded by sharedFrameOf().
    void send(SharedFrame frame);

    /// @brief Frames queued for the peer, including the one that is being written.
    [[nodiscard]] const std::deque<SharedFrame> &queued() const noexcept { return output_; }

    /// @brief Bytes queued for the peer.
    [[nodiscard]] std::size_t queuedBytes() const noexcept { return watch_.outputBytes(); }

    /// @brief Whether a frame has been received only in part.
    [[nodiscard]] bool hasPartialFrame() const noexcept { return reader_.hasPartialFrame(); }

    /// @brief Time at which bytes were last received, also in the middle of a frame: a large frame
    /// takes a while on a slow link.
    [[nodiscard]] Instant receivedAt() const noexcept { return receivedAt_; }

    /// @brief Queues a message.
    /// @param message Any message that has a frame type.
    template <class Message>
    void sendMessage(const Message &message)
    {
        send(frameOf(message));
    }

    /// @brief Closes the connection without calling the handlers.
    void close();

    /// @brief Whether frames can still be sent; false after an error or close().
    [[nodiscard]] bool isOpen() const noexcept { return open_; }

    /// @brief Address of the peer, for logs.
    /// @return IP address and port, or "unknown" if the socket is disconnected.
    [[nodiscard]] std::string peer() const;

private:
    void read();
    void handleReadable();
    void handleInput(std::string_view bytes);
    void write();
    void armTimer();
    void reject(const Error &error);
    void fail(const Error &error);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    StreamWatch watch_;
    FrameReader reader_{};
    Handlers handlers_{};
    std::size_t bufferedBytes_ = 0; ///< As last passed to the handler.
    std::deque<SharedFrame> output_{};
    std::size_t writtenBytes_ = 0; ///< Bytes of the first queued frame already written.
    Instant receivedAt_{};
    bool writePending_ = false;
    bool open_ = true;
    bool closeAfterWrite_ = false;
    Error closeReason_{};
};

} // namespace hyssoprock
