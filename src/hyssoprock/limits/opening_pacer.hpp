#pragma once

#include <cstddef>
#include <cstdint>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Pacing of the openings of connections to one endpoint.

namespace hyssoprock {

/// @brief Bounds the openings to an endpoint that are in progress at once.
///
/// The bound grows by one with each accepted opening and is halved with each refusal. Halved below
/// one, it becomes a pause between openings, which doubles. Without a recent refusal, the first
/// opening is never delayed.
///
/// After a loss of power, many hosts open connections to endpoints that are still full of dead
/// ones. Each refused opening occupies a slot for as long as an accepted one. So the bound starts
/// at one, begins to grow at a random time, and pauses are random.
class OpeningPacer
{
public:
    /// @brief Greatest bound: openings that the four slots of an endpoint accept within about 50
    /// ms, at 12 ms each.
    static constexpr std::uint32_t boundMax = 16;

    /// @brief Returns to the lowest bound, after the start of the process or when the endpoint has
    /// failed.
    /// @param now Current time.
    void restart(Instant now, RandomSource &random) noexcept;
    /// @brief Records an opening that the endpoint has accepted.
    /// @param now Current time.
    void recordAccepted(Instant now) noexcept;
    /// @brief Records an opening that the endpoint has refused at its connection limit.
    /// @param now Current time.
    void recordRefused(Instant now, RandomSource &random) noexcept;

    /// @brief Whether a connection may be opened.
    /// @param inProgress Openings in progress.
    /// @param now Current time.
    [[nodiscard]] bool mayOpen(std::size_t inProgress, Instant now) const noexcept
    {
        return now >= pausedUntil_ && inProgress < bound();
    }

    /// @brief Openings that may be in progress at once; at least 1.
    [[nodiscard]] std::uint32_t bound() const noexcept;
    /// @brief No connection may be opened before this time.
    [[nodiscard]] Instant pausedUntil() const noexcept { return pausedUntil_; }

private:
    static constexpr std::uint32_t partsPerOpening = 16;

    std::uint32_t parts_ = partsPerOpening; // The bound, in parts of an opening.
    Instant growsFrom_{};
    Instant pausedUntil_{};
};

} // namespace hyssoprock
