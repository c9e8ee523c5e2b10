#pragma once

/// @file
/// @brief Forward declarations of the deployment module.

namespace hyssoprock {

class ControlState;
struct ControlResult;

} // namespace hyssoprock
