#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
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

/// @brief Time limits of a caller's connection.
struct CallerTimeouts
{
    Duration startup = std::chrono::seconds{10}; ///< To send the startup.
    Duration message = std::chrono::seconds{30}; ///< To send a message, from its first byte.
    Duration answer = std::chrono::seconds{10};  ///< To read some part of the pending output.
};

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
                           std::unique_ptr<CallerCodec> codec, ConnectionOwner &owner,
                           CallerTimeouts timeouts = {});
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
    /// @param sessionBytes Memory of the session's variables and prepared statements.
    void answer(const StatementAnswer &answer, std::size_t sessionBytes = 0);

    /// @brief Closes the connection once all queued output is written. No event is posted.
    void close();

    /// @brief Writes the queued output.
    void flush();

    /// @brief Reads again after ConnectionOwner::chargeMemory() has stopped it.
    void resume();

    /// @brief Closes immediately, as if the caller had disconnected.
    void disconnect() { handleDisconnect(); }

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
    void watchMessage();
    void updateMemory();
    [[nodiscard]] bool canAcceptMessage();

    StreamSocket stream_;
    boost::asio::steady_timer timer_;
    /// Limits the time for receiving a message; created with the first one that arrives in parts.
    std::optional<boost::asio::steady_timer> messageTimer_{};
    std::unique_ptr<CallerCodec> codec_;
    ConnectionOwner *owner_;
    CallerId id_;
    std::size_t undecodedBytes_ =
        0; ///< Bytes received since the codec last ran out of complete messages.
    std::size_t statementBytes_ = 0; ///< Memory of the statement in progress.
    std::size_t sessionBytes_ = 0;   ///< Memory of variables and prepared statements.
    std::size_t chargedBlocks_ = 0;  ///< Memory as last reported to the owner.
    CallerTimeouts timeouts_;
    Phase phase_ = Phase::Startup;
    Instant lastWriteAt_{}; ///< Start of the last write.
    bool awaitingAnswer_ = false;
    bool idleAtClose_ = false; ///< All output had been delivered before the close.
    bool awaitingReadable_ = false;
    bool awaitingWritable_ = false;
    bool mayRead_ = true;       ///< False while the owner has stopped the reading.
    bool messageTimed_ = false; ///< messageTimer_ runs.
};

} // namespace hyssoprock
