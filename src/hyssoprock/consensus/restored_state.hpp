#pragma once

#include <optional>
#include <vector>

#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief Durable state of a control host at its start.

namespace hyssoprock {

/// @brief Durable state from which a RaftNode is constructed. Empty for a new data folder.
struct RestoredState
{
    HardState hardState;                  ///< Newest synced hard state.
    std::optional<RaftSnapshot> snapshot; ///< Newest snapshot.
    std::vector<LogEntry> entries;        ///< Entries after the snapshot, without gaps.

    [[nodiscard]] bool operator==(const RestoredState &) const = default;
};

} // namespace hyssoprock
