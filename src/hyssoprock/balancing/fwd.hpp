#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the balancing module.

namespace hyssoprock {

enum class EndpointOutcome : std::uint8_t;
enum class EndpointUse : std::uint8_t;
enum class OutlierChange : std::uint8_t;
class EndpointLoad;
class EndpointSelector;
class OutlierDetector;
struct EndpointCandidate;

} // namespace hyssoprock
