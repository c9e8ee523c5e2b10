#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Keeps work away from endpoints that fail.

namespace hyssoprock {

/// @brief Ejects an endpoint after failures in a row, and takes it back with hysteresis.
///
/// After its ejection time an endpoint gets work again, but one more failure ejects it for twice as
/// long. Only a run of successes clears its record, so that a flapping endpoint stays out longer
/// and longer, up to a bound.
class EjectionTracker
{
public:
    /// @brief Starts with no endpoint ejected.
    /// @param failures Failures in a row that eject an endpoint, at least 1.
    /// @param firstEjection Length of the first ejection.
    EjectionTracker(std::uint64_t failures, Duration firstEjection) noexcept
        : failures_{failures}
        , firstEjection_{firstEjection}
    {}

    /// @brief Counts a failure of the endpoint itself: no connection, a broken one, a timeout.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return Whether this failure ejected it.
    bool recordFailure(const std::string &endpoint, Instant now);

    /// @brief Counts an answer.
    /// @param endpoint Name of the endpoint.
    void recordSuccess(const std::string &endpoint);

    /// @brief Whether the endpoint should get no work.
    /// @param endpoint Name of the endpoint.
    /// @param now Present time.
    /// @return Whether its ejection time is running.
    [[nodiscard]] bool ejected(const std::string &endpoint, Instant now) const;

private:
    struct Record
    {
        std::uint64_t failuresInRow = 0;
        std::uint64_t successesInRow = 0;
        std::uint32_t ejections = 0; // Determines the length of the next ejection.
        Instant until{};
    };

    std::uint64_t failures_;
    Duration firstEjection_;
    std::map<std::string, Record, std::less<>> records_; // Only endpoints that failed lately.
};

} // namespace hyssoprock
