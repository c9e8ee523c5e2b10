#pragma once

#include <algorithm>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Longest time without an acknowledged write.

namespace hyssoprock::load {

/// @brief Fed with the acknowledgements of one group's probe writer.
class FailoverGap
{
public:
    /// @brief Time counts from the first acknowledgement, or from here if there is none.
    explicit FailoverGap(Instant start) noexcept
        : last_{start}
    {}

    /// @brief A probe write was acknowledged.
    void acknowledged(Instant now) noexcept
    {
        if (any_) {
            longest_ = std::max(longest_, now - last_);
        }
        any_ = true;
        last_ = std::max(last_, now);
    }

    /// @brief Longest gap.
    /// @param end End of the measurement, so that a gap that lasts until then counts.
    [[nodiscard]] Duration longest(Instant end) const noexcept
    {
        return std::max(longest_, end - last_);
    }

    /// @brief Newest acknowledgement; the start if there is none.
    [[nodiscard]] Instant last() const noexcept { return last_; }

    /// @brief Whether any write was acknowledged.
    [[nodiscard]] bool any() const noexcept { return any_; }

private:
    Instant last_;
    Duration longest_{0};
    bool any_ = false;
};

} // namespace hyssoprock::load
