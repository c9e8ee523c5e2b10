#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the core module.

namespace hyssoprock {

enum class ErrorKind : std::uint8_t;
class RandomSource;
struct DurationHistogram;
struct Error;
struct ErrorAnswer;
struct LocalClock;
struct LogPosition;

} // namespace hyssoprock
