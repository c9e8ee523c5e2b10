#pragma once

#include <functional>
#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Blocking request and response, for command-line tools.

namespace hyssoprock {

/// @brief Whether a frame is the response; other frames are ignored.
using ResponsePredicate = std::function<bool(const Frame &frame)>;

/// @brief Connects, sends a request and blocks until the response is received.
/// @param address Address of the server.
/// @param bytes Complete frames, encoded by frameOf().
/// @param timeout Time limit for the whole exchange.
/// @param isResponse Selects the response; by default the first frame.
/// @return The response, Unreachable, or the error that closed the connection.
[[nodiscard]] Result<Frame> exchangeFrames(const SocketAddress &address, const std::string &bytes,
                                           Duration timeout,
                                           const ResponsePredicate &isResponse = {});

} // namespace hyssoprock
