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
/// @brief Bytes of a caller's connection: decoded messages in, encoded answers out.

namespace hyssoprock {

/// @brief Reads messages one at a time and writes with a bound on what a slow caller leaves
/// unread. Used on one I/O thread.
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        std::function<void(pgwire::FrontendMessage)> message{}; ///< The message asked for.
        std::function<void(const Error &)> refused{};           ///< The stream is malformed.
        std::function<void()> gone{};                           ///< The caller has gone.
    };

    /// @brief Takes an accepted socket.
    /// @param socket The socket.
    /// @param messageBytesMax Largest message after startup.
    CallerStream(boost::asio::ip::tcp::socket socket, std::size_t messageBytesMax);
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;
    ~CallerStream() = default;

    /// @brief Begins to read. A caller that does not finish its startup in time is refused.
    /// @param handlers Called on the I/O thread, never from within a call of this object.
    void start(Handlers handlers);

    /// @brief Asks for the next message; one is outstanding at most.
    void wantMessage();

    /// @brief Queues bytes. A caller that takes none of them for some time counts as gone.
    /// @param bytes Encoded messages.
    void send(std::string bytes);

    /// @brief Calls back once little is left to be written; at most one callback waits.
    /// @param drained Called from the event loop.
    void whenDrained(std::function<void()> drained);

    /// @brief Closes once everything queued is written, or after a short time.
    void finish();

    /// @brief Closes at once.
    void close();

    /// @brief Address of the caller for logs.
    [[nodiscard]] std::string peer() const;

private:
    void read();
    void deliver();
    void write();
    void written(std::size_t bytes);
    void gone();
    void armTimer(std::chrono::milliseconds time, bool refuse);

    static constexpr std::size_t readBytes = 16384;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    pgwire::FrontendDecoder decoder_;
    Handlers handlers_{};
    std::array<char, readBytes> input_{};
    std::deque<std::string> output_{};
    std::size_t outputBytes_ = 0;
    std::function<void()> drained_{};
    bool wanted_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool finishing_ = false;
    bool open_ = true;
    bool started_ = false;
    bool inputPending_ = false;
};

} // namespace hyssoprock
