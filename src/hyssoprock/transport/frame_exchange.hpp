#pragma once

#include <functional>
#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief One request and its answer, for command-line tools.

namespace hyssoprock {

/// @brief Whether a frame is the answer; others are passed over.
using IsAnswer = std::function<bool(const Frame &frame)>;

/// @brief Connects, sends bytes and waits for a frame. Blocks.
/// @param address Where to connect.
/// @param bytes Whole frames, as frameOf() gives them.
/// @param timeout Time for all of it.
/// @param isAnswer Tells the answer from other frames; by default the first frame is the answer.
/// @return The answer, or Unreachable, or why the connection was closed.
[[nodiscard]] Result<Frame> exchangeFrames(const SocketAddress &address, const std::string &bytes,
                                           Duration timeout, const IsAnswer &isAnswer = {});

} // namespace hyssoprock
