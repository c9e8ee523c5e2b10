#pragma once

#include <cstdint>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Limits retries to a share of the recent successes.

namespace hyssoprock {

/// @brief Token bucket that successes refill and retries consume.
///
/// Without such a budget, retries multiply the load when endpoints fail because of overload.
class RetryBudget
{
public:
    /// @brief Starts full, so that a host can retry directly after its start.
    /// @param percent Number of retries that 100 successes earn.
    explicit constexpr RetryBudget(std::uint64_t percent) noexcept
        : percent_{percent}
    {}

    /// @brief Adds the share of a retry that one success earns.
    constexpr void recordSuccess() noexcept
    {
        retryHundredths_ = retryHundredths_ + percent_ > hundredthsMax
                               ? hundredthsMax
                               : retryHundredths_ + percent_;
    }

    /// @brief Consumes one retry if available.
    /// @return Whether the request may be retried.
    [[nodiscard]] constexpr bool trySpend() noexcept
    {
        if (retryHundredths_ < hundredthsPerRetry) {
            return false;
        }
        retryHundredths_ -= hundredthsPerRetry;
        return true;
    }

    /// @brief Number of retries that are available.
    [[nodiscard]] constexpr std::uint64_t available() const noexcept
    {
        return retryHundredths_ / hundredthsPerRetry;
    }

private:
    static constexpr std::uint64_t hundredthsPerRetry = 100;
    static constexpr std::uint64_t hundredthsMax = 20 * hundredthsPerRetry;

    std::uint64_t percent_;
    std::uint64_t retryHundredths_ = hundredthsMax;
};

} // namespace hyssoprock
