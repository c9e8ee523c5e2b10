#pragma once

#include <algorithm>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Longest interval without an acknowledged write.

namespace hyssoprock::load {

/// @brief Measures the longest interval between acknowledged probe writes of one group.
class FailoverGap
{
public:
    /// @param start Start of the measurement; used only until the first acknowledgement.
    explicit FailoverGap(Instant start) noexcept
        : lastAcknowledgedAt_{start}
    {}

    void recordAcknowledgement(Instant now) noexcept
    {
        if (acknowledged_) {
            longest_ = std::max(longest_, now - lastAcknowledgedAt_);
        }
        acknowledged_ = true;
        lastAcknowledgedAt_ = std::max(lastAcknowledgedAt_, now);
    }

    /// @brief Longest gap, including one that is still open at the end.
    /// @param end End of the measurement.
    [[nodiscard]] Duration longest(Instant end) const noexcept
    {
        return std::max(longest_, end - lastAcknowledgedAt_);
    }

    /// @brief Time of the newest acknowledgement; the start if there is none.
    [[nodiscard]] Instant lastAcknowledgedAt() const noexcept { return lastAcknowledgedAt_; }

    [[nodiscard]] bool hasAcknowledgement() const noexcept { return acknowledged_; }

private:
    Instant lastAcknowledgedAt_;
    Duration longest_{0};
    bool acknowledged_ = false;
};

} // namespace hyssoprock::load
