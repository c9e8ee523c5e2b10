#pragma once

/// @file
/// @brief Forward declarations of the freshness module.

namespace hyssoprock {

class PositionHistory;

} // namespace hyssoprock
