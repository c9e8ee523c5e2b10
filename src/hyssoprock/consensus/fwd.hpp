#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the consensus module.

namespace hyssoprock {

enum class RaftRole : std::uint8_t;
class RaftLog;
class RaftNode;
struct PeerProgress;
struct RestoredState;

} // namespace hyssoprock
