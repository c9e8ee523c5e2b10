#pragma once

#include <optional>
#include <string>

#include <hyssoprock/consensus/raft_event.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Raft messages in frames.

namespace hyssoprock {

/// @brief Returns the sender that a message states.
/// @param message The message.
/// @return Reference into the message.
[[nodiscard]] const std::string &senderOf(const RaftMessage &message);

/// @brief Parses a Raft message of any type.
/// @param frame The frame.
/// @return The message, nothing for a frame of another type, or an error for an invalid frame.
[[nodiscard]] Result<std::optional<RaftMessage>> parseRaftMessage(const Frame &frame);

} // namespace hyssoprock
