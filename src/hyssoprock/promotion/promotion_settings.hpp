#pragma once

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Settings of a PromotionController.

namespace hyssoprock {

/// @brief Properties of the platform and timing of a PromotionController.
struct PromotionSettings
{
    /// Time after a promotion during which only a failure or draining of the target leads to
    /// another promotion of the same service.
    Duration stableWindow{};
    /// Whether a promotion deposes the former primary, and a call with an outdated token is
    /// refused.
    bool fenced = true;

    [[nodiscard]] bool operator==(const PromotionSettings &) const = default;
};

} // namespace hyssoprock
