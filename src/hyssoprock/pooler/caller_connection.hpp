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

/// @brief Turns a caller's stream into events and answers into bytes. Used on one I/O thread.
///
/// One statement at a time is given to the host; further ones wait in the codec until it is
/// answered.
class PooledCallerConnection : public std::enable_shared_from_this<PooledCallerConnection>
{
public:
    /// @brief Takes an accepted socket.
    /// @param socket The socket.
    /// @param id Names the caller in events.
    /// @param codec Codec of this connection.
    /// @param host Outlives this object or calls abandon().
    PooledCallerConnection(boost::asio::ip::tcp::socket socket, CallerId id,
                           std::unique_ptr<CallerCodec> codec, ConnectionOwner &host);
    PooledCallerConnection(const PooledCallerConnection &) = delete;
    PooledCallerConnection &operator=(const PooledCallerConnection &) = delete;
    ~PooledCallerConnection() = default;

    /// @brief Begins to read.
    void start();

    /// @brief Queues the answer to an accepted startup.
    void accept();

    /// @brief Queues a refusal and closes.
    /// @param kind Reason.
    /// @param text Text for people.
    void refuse(AnswerKind kind, std::string_view text);

    /// @brief Queues the answer to the statement under way.
    /// @param answer The answer.
    void answer(const StatementAnswer &answer);

    /// @brief Closes after what is queued. No event follows.
    void close();

    /// @brief Writes what is queued.
    void flush();

    /// @brief Closes at once and never uses the host again.
    void abandon();

private:
    enum class Phase : std::uint8_t {
        Startup,  ///< The first message has not arrived.
        Deciding, ///< The host has not answered the startup.
        Open,
        Closing,  ///< Output is being written.
        Draining, ///< Everything is written; input is discarded until the peer closes.
        Closed,
    };

    void readLater();
    void readable();
    void takeMessages();
    void take(CallerMessage message);
    void writable();
    void lost();
    void drain();
    void closeNow();
    void leave(bool known);
    void armTimer(Duration timeout);
    void disarmTimer();
    [[nodiscard]] bool mayTake();

    StreamSocket stream_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<CallerCodec> codec_;
    ConnectionOwner *host_;
    CallerId id_;
    std::size_t backlogBytes_ = 0; ///< Received since the codec last needed more bytes.
    Phase phase_ = Phase::Startup;
    Instant writtenAt_{}; ///< When something was last written.
    bool awaitingAnswer_ = false;
    bool idleAtClose_ = false; ///< Everything had been delivered when it was closed.
    bool waitingReadable_ = false;
    bool waitingWritable_ = false;
};

} // namespace hyssoprock
