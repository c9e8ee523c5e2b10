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

/// @brief Turns commands into bytes and an endpoint's stream into events. Used on one I/O thread.
///
/// Exactly one ConnectionEnded is posted, unless close() or abandon() is called before.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    /// @brief Does nothing until open().
    /// @param context I/O context.
    /// @param id Names the connection in events.
    /// @param codec Codec of this connection.
    /// @param host Outlives this object or calls close().
    EndpointConnection(boost::asio::io_context &context, ConnectionId id,
                       std::unique_ptr<EndpointCodec> codec, ConnectionOwner &host);
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;
    ~EndpointConnection() = default;

    /// @brief Connects and sends the startup.
    /// @param target Address, service and endpoint.
    /// @param user Who connects.
    void open(const pooler::OpenConnection &target, const std::string &user);

    /// @brief Queues a command.
    /// @param command The command.
    void send(const EndpointCommand &command);

    /// @brief Writes what is queued.
    void flush();

    /// @brief Closes at once; nothing is posted any more.
    void close();

private:
    enum class Phase : std::uint8_t { Connecting, Starting, Open, Ended };

    void connected(const boost::system::error_code &error);
    void readLater();
    void readable();
    void takeAnswers();
    void takeStartupAnswer(const StatementAnswer &answer);
    void armTimer(Duration timeout);
    void end(ConnectionFailure reason);

    StreamSocket stream_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<EndpointCodec> codec_;
    ConnectionOwner *host_;
    ConnectionId id_;
    std::size_t unanswered_ = 0; ///< Commands sent and not answered.
    Phase phase_ = Phase::Connecting;
    bool waitingWritable_ = false;
};

} // namespace hyssoprock
