#pragma once

/// @file
/// @brief Forward declarations of the freshness module.

namespace hyssoprock {

class PositionFeed;
class PositionHistory;
class PrimarySampler;
struct AddressedPositionRequest;
struct PositionSample;
struct SampleTarget;

} // namespace hyssoprock
