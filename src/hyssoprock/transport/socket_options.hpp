#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Options of connected TCP sockets.

namespace hyssoprock {

/// @brief Disables Nagle's algorithm, and enables keep-alive probes and a user timeout to detect
/// peers that vanished without a reset.
///
/// Errors are ignored because the connection also works without these options.
/// @param socket Connected socket.
/// @param userTimeout Time after which unacknowledged data or probes close the connection.
void configureSocket(boost::asio::ip::tcp::socket &socket, Duration userTimeout);

} // namespace hyssoprock
