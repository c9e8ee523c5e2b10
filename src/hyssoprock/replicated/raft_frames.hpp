#pragma once

#include <optional>
#include <string>

#include <hyssoprock/consensus/raft_event.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Raft messages in the frames of both deployments.

namespace hyssoprock {

/// @brief Process that a message names as its sender.
/// @param message Message.
/// @return Its name; refers to the message.
[[nodiscard]] const std::string &senderOf(const RaftMessage &message);

/// @brief Reads a Raft message of any type.
/// @param frame Frame.
/// @return The message, nothing for a frame of another type, or why the frame cannot be read.
[[nodiscard]] Result<std::optional<RaftMessage>> parseRaftMessage(const Frame &frame);

} // namespace hyssoprock
