#include <hyssoprock/transport/socket_options.hpp>

#include <netinet/tcp.h>

namespace hyssoprock {

void configureSocket(boost::asio::ip::tcp::socket &socket, Duration userTimeout)
{
    // The kernel's default sends the first keep-alive probe only after two hours of idle time.
    constexpr int keepAliveIdleSeconds = 10;
    constexpr int keepAliveIntervalSeconds = 5;
    using UserTimeoutOption =
        boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using IdleOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using IntervalOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(IdleOption{keepAliveIdleSeconds}, ignored);
    socket.set_option(IntervalOption{keepAliveIntervalSeconds}, ignored);
    socket.set_option(UserTimeoutOption{static_cast<int>(toMilliseconds(userTimeout))}, ignored);
}

} // namespace hyssoprock
