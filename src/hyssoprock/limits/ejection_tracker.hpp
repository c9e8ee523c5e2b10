#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Ejection of failing endpoints.

namespace hyssoprock {

/// @brief Ejects an endpoint after consecutive failures and readmits it with hysteresis.
///
/// After its ejection an endpoint gets work again, but one more failure ejects it for twice as
/// long. Only consecutive successes clear its record, so that a flapping endpoint is ejected for
/// increasing times, up to a bound.
class EjectionTracker
{
public:
    /// @param failuresToEject Number of consecutive failures that eject an endpoint; at least 1.
    /// @param firstEjectionInterval Length of the first ejection.
    EjectionTracker(std::uint64_t failuresToEject, Duration firstEjectionInterval) noexcept
        : failuresToEject_{failuresToEject}
        , firstEjectionInterval_{firstEjectionInterval}
    {}

    /// @brief Records a failure of the endpoint itself: a failed or lost connection, or a timeout.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    /// @return Whether this failure ejected it.
    bool recordFailure(const std::string &endpoint, Instant now);

    /// @brief Records an answer.
    /// @param endpoint Name of the endpoint.
    void recordSuccess(const std::string &endpoint);

    /// @brief Whether the endpoint is ejected and should get no work.
    /// @param endpoint Name of the endpoint.
    /// @param now Current time.
    [[nodiscard]] bool ejected(const std::string &endpoint, Instant now) const;

private:
    struct Record
    {
        std::uint64_t consecutiveFailures = 0;
        std::uint64_t consecutiveSuccesses = 0;
        std::uint32_t ejections = 0; // Determines the length of the next ejection.
        Instant ejectedUntil{};
    };

    std::uint64_t failuresToEject_;
    Duration firstEjectionInterval_;
    std::map<std::string, Record, std::less<>>
        records_; // Only endpoints with failures that were not cleared.
};

} // namespace hyssoprock
