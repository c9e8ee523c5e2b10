#pragma once

#include <cstdint>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Keeps retries to a share of the recent successes.

namespace hyssoprock {

/// @brief Each success earns a part of a retry; a retry spends a whole one.
///
/// Without such a budget, retries multiply the load just when endpoints fail for lack of capacity.
class RetryBudget
{
public:
    /// @brief Starts full, so that a host that has just started can retry.
    /// @param percent Retries earned by 100 successes.
    explicit constexpr RetryBudget(std::uint64_t percent) noexcept
        : percent_{percent}
    {}

    /// @brief Counts a request that succeeded.
    constexpr void recordSuccess() noexcept
    {
        hundredths_ = hundredths_ + percent_ > capacity ? capacity : hundredths_ + percent_;
    }

    /// @brief Spends one retry if there is one.
    /// @return Whether the request may be retried.
    [[nodiscard]] constexpr bool trySpend() noexcept
    {
        if (hundredths_ < oneRetry) {
            return false;
        }
        hundredths_ -= oneRetry;
        return true;
    }

    /// @brief Retries that can be made at once.
    /// @return Their number.
    [[nodiscard]] constexpr std::uint64_t available() const noexcept
    {
        return hundredths_ / oneRetry;
    }

private:
    static constexpr std::uint64_t oneRetry = 100;
    static constexpr std::uint64_t capacity = 20 * oneRetry;

    std::uint64_t percent_;
    std::uint64_t hundredths_ = capacity;
};

} // namespace hyssoprock
