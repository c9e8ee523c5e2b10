#pragma once

#include <cstdint>

/// @file
/// @brief Type numbers of messages between processes.

namespace hyssoprock {

/// @brief Number that names a message type in a frame's header.
enum class FrameType : std::uint16_t {};

/// @brief Frame type of a message; specialised for each message that is sent on its own.
template <class Message>
struct FrameTypeOf;

} // namespace hyssoprock
