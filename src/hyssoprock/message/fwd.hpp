#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the message module.

namespace hyssoprock {

enum class FrameType : std::uint16_t;
template <class Message>
struct FrameTypeOf;

} // namespace hyssoprock
