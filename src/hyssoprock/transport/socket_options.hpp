#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Options of connected TCP sockets.

namespace hyssoprock {

/// @brief Sends small messages at once and notices a peer that has vanished without a reset.
///
/// Failures are ignored: the connection works without these options, only slower.
/// @param socket Open socket.
/// @param userTimeout Time after which unacknowledged bytes or probes end the connection.
void configureSocket(boost::asio::ip::tcp::socket &socket, Duration userTimeout);

} // namespace hyssoprock
