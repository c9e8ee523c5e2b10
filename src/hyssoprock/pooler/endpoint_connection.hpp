#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/connection_owner.hpp>
#include <hyssoprock/pooler/stream_socket.hpp>
#include <hyssoprock/pooling/pooler_action.hpp>

/// @file
/// @brief Pooled connection of an entry host to an endpoint.

namespace hyssoprock {

/// @brief Encodes commands and decodes an endpoint's stream into events. Used on one I/O thread.
///
/// Posts exactly one ConnectionEnded unless close() is called first.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    /// @param id Identifies the connection in events.
    /// @param owner Must outlive this object or call close().
    EndpointConnection(boost::asio::io_context &context, ConnectionId id,
                       std::unique_ptr<EndpointCodec> codec, ConnectionOwner &owner);
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;
    ~EndpointConnection() = default;

    /// @brief Connects and sends the startup message.
    /// @param user User name for the startup message.
    void open(const pooler::OpenConnection &target, const std::string &user);

    /// @brief Queues a command until flush().
    void send(const EndpointCommand &command);

    /// @brief Writes the queued output.
    void flush();

    /// @brief Closes immediately; no further event is posted.
    void close();

private:
    enum class Phase : std::uint8_t { Connecting, Starting, Open, Ended };

    void handleConnect(const boost::system::error_code &error);
    void awaitReadable();
    void handleReadable();
    void handleAnswers();
    void handleStartupAnswer(const StatementAnswer &answer);
    void armTimer(Duration timeout);
    void finish(ConnectionFailure reason);

    StreamSocket stream_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<EndpointCodec> codec_;
    ConnectionOwner *owner_;
    ConnectionId id_;
    std::size_t pendingCommands_ = 0; ///< Commands without an answer.
    Phase phase_ = Phase::Connecting;
    bool awaitingWritable_ = false;
};

} // namespace hyssoprock
