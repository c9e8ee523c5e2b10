#pragma once

#include <cstdint>

/// @file
/// @brief State of an attempt to choose the target of a promotion.

namespace hyssoprock::internal {

enum class SelectionState : std::uint8_t {
    Idle,    ///< No selection is in progress.
    Waiting, ///< Operations on endpoints are pending.
    Chosen,  ///< A target was selected.
    Failed,  ///< No target is available now; a later attempt may succeed.
};

} // namespace hyssoprock::internal
