#pragma once

#include <cstdint>

/// @file
/// @brief Type numbers of messages exchanged between processes.

namespace hyssoprock {

/// @brief Number of a message type in the header of a frame.
enum class FrameType : std::uint16_t {};

/// @brief Frame type of a message; specialised for each message that is sent as a frame.
template <class Message>
struct FrameTypeOf;

} // namespace hyssoprock
