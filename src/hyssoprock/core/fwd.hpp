#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the core module.

namespace hyssoprock {

enum class ErrorKind : std::uint8_t;
struct ErrorAnswer;
struct Error;
struct LocalClock;
struct LogPosition;
class RandomSource;

} // namespace hyssoprock
