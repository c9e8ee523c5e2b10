#pragma once

/// @file
/// @brief Forward declarations of the pooler module.

namespace hyssoprock {

class ControlReplica;
class PoolerControlNode;
struct ControlNodeSettings;

} // namespace hyssoprock
