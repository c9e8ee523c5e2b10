#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/connection_owner.hpp>
#include <hyssoprock/pooler/stream_socket.hpp>

/// @file
/// @brief Connection of one caller to an entry host of the pooled deployment.

namespace hyssoprock {

/// @brief Decodes a caller's stream into events and encodes answers. Used on one I/O thread.
///
/// Statements are passed to the owner one at a time; further ones stay in the codec until the
/// current one is answered.
class PooledCallerConnection : public std::enable_shared_from_this<PooledCallerConnection>
{
public:
    /// @param id Identifies the caller in events.
    /// @param owner Must outlive this object or call abandon().
    PooledCallerConnection(boost::asio::ip::tcp::socket socket, CallerId id,
                           std::unique_ptr<CallerCodec> codec, ConnectionOwner &owner);
    PooledCallerConnection(const PooledCallerConnection &) = delete;
    PooledCallerConnection &operator=(const PooledCallerConnection &) = delete;
    ~PooledCallerConnection() = default;

    void start();

    /// @brief Queues the response to an accepted startup.
    void accept();

    /// @brief Queues an error response and closes the connection.
    /// @param text Human-readable reason.
    void refuse(AnswerKind kind, std::string_view text);

    /// @brief Queues the answer to the current statement.
    void answer(const StatementAnswer &answer);

    /// @brief Closes the connection once all queued output is written. No event is posted.
    void close();

    /// @brief Writes the queued output.
    void flush();

    /// @brief Closes immediately; the owner is not called again.
    void abandon();

private:
    enum class Phase : std::uint8_t {
        Startup,          ///< The first message has not arrived.
        AwaitingDecision, ///< The owner has not accepted or refused the caller.
        Open,
        Closing,  ///< Remaining output is being written.
        Draining, ///< All output is written; input is discarded until the peer closes.
        Closed,
    };

    void awaitReadable();
    void handleReadable();
    void handleMessages();
    void handleMessage(CallerMessage message);
    void handleWritable();
    void handleDisconnect();
    void startDrain();
    void closeNow();
    void endSession(bool hasSession);
    void armTimer(Duration timeout);
    void cancelTimer();
    [[nodiscard]] bool canAcceptMessage();

    StreamSocket stream_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<CallerCodec> codec_;
    ConnectionOwner *owner_;
    CallerId id_;
    std::size_t undecodedBytes_ =
        0; ///< Bytes received since the codec last ran out of complete messages.
    Phase phase_ = Phase::Startup;
    Instant lastWriteAt_{}; ///< Start of the last write.
    bool awaitingAnswer_ = false;
    bool idleAtClose_ = false; ///< All output had been delivered before the close.
    bool awaitingReadable_ = false;
    bool awaitingWritable_ = false;
};

} // namespace hyssoprock
