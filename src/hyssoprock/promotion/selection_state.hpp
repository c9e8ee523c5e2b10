#pragma once

#include <cstdint>

/// @file
/// @brief State of an attempt to choose the target of a promotion.

namespace hyssoprock::internal {

/// @brief State of an attempt to choose a target.
enum class ChoiceState : std::uint8_t {
    Idle,    ///< Nothing is under way.
    Waiting, ///< Orders to endpoints are under way.
    Chosen,  ///< There is a target.
    Failed,  ///< There is none now; the attempt may be repeated later.
};

} // namespace hyssoprock::internal
