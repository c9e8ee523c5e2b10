#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/pgwire/frontend_decoder.hpp>

/// @file
/// @brief Socket of a caller connection: decodes received messages and sends encoded answers.

namespace hyssoprock {

/// @brief Reads messages one at a time and closes the connection of a caller that does not read its
/// answers. Must be used on one I/O thread.
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    /// @brief Callbacks to the owner.
    struct Handlers
    {
        std::function<void(pgwire::FrontendMessage)>
            message{}; ///< The requested message was received.
        std::function<void(const Error &)>
            refused{};                        ///< The startup timed out or a message is invalid.
        std::function<void()> disconnected{}; ///< The caller disconnected.
    };

    /// @param socket Accepted socket.
    /// @param messageBytesMax Maximum size of a message after startup.
    CallerStream(boost::asio::ip::tcp::socket socket, std::size_t messageBytesMax);
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;
    ~CallerStream() = default;

    /// @brief Starts reading. A caller that does not complete its startup in time is refused.
    /// @param handlers Called on the I/O thread, never during a call of this object.
    void start(Handlers handlers);

    /// @brief Requests the next message. At most one request may be pending.
    void requestMessage();

    /// @brief Queues bytes for sending. A caller that reads nothing for the write timeout is
    /// disconnected.
    /// @param bytes Encoded messages.
    void send(std::string bytes);

    /// @brief Sets a callback for the time when few bytes remain to be sent. At most one callback
    /// can be pending.
    /// @param drained Called from the event loop.
    void onDrained(std::function<void()> drained);

    /// @brief Closes the connection after all queued bytes are sent, or after a short timeout.
    void finish();

    /// @brief Closes the connection at once.
    void close();

    /// @brief Address of the caller for logs.
    [[nodiscard]] std::string peer() const;

private:
    void read();
    void deliverMessage();
    void write();
    void handleWritten(std::size_t bytes);
    void handleDisconnect();
    void armTimer(std::chrono::milliseconds time, bool refuse);

    static constexpr std::size_t readBytesMax = 16384;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    pgwire::FrontendDecoder decoder_;
    Handlers handlers_{};
    std::array<char, readBytesMax> input_{};
    std::deque<std::string> output_{};
    std::size_t outputBytes_ = 0;
    std::function<void()> drained_{};
    bool messageRequested_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool finishing_ = false;
    bool open_ = true;
    bool started_ = false;
    bool inputPending_ = false;
};

} // namespace hyssoprock
