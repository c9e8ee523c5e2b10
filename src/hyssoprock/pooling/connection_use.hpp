#pragma once

#include <optional>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Idle timeout of connections to an endpoint.

namespace hyssoprock {

/// @brief Usage statistics of an entry host's connections to one endpoint.
///
/// By Little's law a host that uses connections at rate r, each for a time u, and keeps them idle
/// for at most a time x holds no more than r (u + x) of them on average. With x = share / r - u the
/// hosts together stay within the endpoint's limit without coordination.
class ConnectionUsage
{
public:
    /// @brief Records that a session has acquired a connection.
    /// @param now Current time.
    void recordAcquired(Instant now) noexcept;
    /// @brief Records that a session has released a connection.
    /// @param held How long it held the connection.
    void recordReleased(Duration held) noexcept;

    /// @brief Time after which an idle connection is closed.
    /// @param share Connections that this host may hold on average; may be below 1.
    /// @param now Current time.
    /// @return Zero if the connections in use alone exceed the share; at most idleTimeoutMax.
    [[nodiscard]] Duration idleTimeout(double share, Instant now) const noexcept;

    /// @brief Upper bound of idleTimeout().
    static constexpr Duration idleTimeoutMax = std::chrono::seconds{2};

private:
    [[nodiscard]] double decayedCount(Instant now) const noexcept;

    double count_ = 0.0;             ///< Acquisitions, weighted by an exponential decay.
    Instant countedAt_{};            ///< When count_ was updated.
    std::optional<Duration> held_{}; ///< Moving average of the holding time.
};

} // namespace hyssoprock
