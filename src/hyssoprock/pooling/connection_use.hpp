#pragma once

#include <optional>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief How long an idle connection to an endpoint may be kept.

namespace hyssoprock {

/// @brief Measures how an entry host uses the connections to one endpoint.
///
/// By Little's law a host that uses connections at rate r, each for a time u, and keeps them idle
/// for at most a time x holds no more than r (u + x) of them on average. With x = share / r - u the
/// hosts together stay within the endpoint's limit, without telling each other anything.
class ConnectionUsage
{
public:
    /// @brief Notes that a connection was given to a session.
    /// @param now Present time.
    void recordAcquired(Instant now) noexcept;
    /// @brief Notes that a session has given one back.
    /// @param held How long it had the connection.
    void recordReleased(Duration held) noexcept;

    /// @brief Time after which an unused connection is to be closed.
    /// @param share Connections that this host may hold on average; may be below 1.
    /// @param now Present time.
    /// @return Zero if the use alone takes the share; at most idleMax.
    [[nodiscard]] Duration idleLimit(double share, Instant now) const noexcept;

    /// @brief Longest time that a connection is kept unused.
    static constexpr Duration idleMax = std::chrono::seconds{2};

private:
    [[nodiscard]] double decayedCount(Instant now) const noexcept;

    double count_ = 0.0;             ///< Uses, those of the past weighted by their age.
    Instant countedAt_{};            ///< When the count was updated.
    std::optional<Duration> held_{}; ///< Moving average.
};

} // namespace hyssoprock
