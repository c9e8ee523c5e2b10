#include <hyssoprock/transport/frame_exchange.hpp>

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/transport/frame_connection.hpp>

namespace hyssoprock {

Result<Frame> exchangeFrames(const SocketAddress &address, const std::string &bytes,
                             Duration timeout, const ResponsePredicate &isResponse)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    Result<Frame> result =
        failure(ErrorKind::Unreachable, toString(address) + " did not respond in time");
    std::shared_ptr<FrameConnection> connection;
    socket.async_connect(
        {boost::asio::ip::make_address(address.ip), address.port},
        [&](const boost::system::error_code &error) {
            if (error) {
                result =
                    failure(ErrorKind::Unreachable, toString(address) + ": " + error.message());
                context.stop();
                return;
            }
            connection = std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
            FrameConnection::Handlers handlers;
            handlers.frame = [&](Frame frame) {
                if (!isResponse || isResponse(frame)) {
                    result = std::move(frame);
                    context.stop();
                }
            };
            handlers.closed = [&](const Error &reason) {
                result = BOOST_OUTCOME_V2_NAMESPACE::failure(reason);
                context.stop();
            };
            connection->start(std::move(handlers));
            connection->send(bytes);
        });
    context.run_for(timeout);
    if (connection) {
        connection->close();
        // Runs the remaining callbacks, which own the connection, so that it is destroyed here.
        context.restart();
        context.poll();
    }
    return result;
}

} // namespace hyssoprock
