#pragma once

/// @file
/// @brief Forward declarations of the session module.

namespace hyssoprock {

class SessionFloor;
class TokenCodec;
struct RequestAttributes;

} // namespace hyssoprock
