#pragma once

#include <optional>
#include <vector>

#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief What a control host finds on its disk.

namespace hyssoprock {

/// @brief Durable state from which a RaftNode starts. All empty for a new data folder.
struct RestoredState
{
    HardState hardState;                  ///< Newest synced hard state.
    std::optional<RaftSnapshot> snapshot; ///< Newest snapshot.
    std::vector<LogEntry> entries;        ///< Entries after the snapshot, without gaps.

    [[nodiscard]] bool operator==(const RestoredState &) const = default;
};

} // namespace hyssoprock
