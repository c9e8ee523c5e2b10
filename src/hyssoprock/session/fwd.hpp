#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the session module.

namespace hyssoprock {

enum class RequestClass : std::uint8_t;
class SessionFloor;
class TokenCodec;
struct FloorEntry;
struct RequestAttributes;

} // namespace hyssoprock
