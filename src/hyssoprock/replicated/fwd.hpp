#pragma once

/// @file
/// @brief Forward declarations of the replicated module.

namespace hyssoprock {

class RaftHost;
class ReplicatedState;

} // namespace hyssoprock
