#pragma once

#include <cstdint>
#include <optional>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Share of its reads that a host sends to an endpoint.

namespace hyssoprock {

/// @brief Share of an endpoint, corrected by the outcomes of this host's own reads.
///
/// The share grows by a constant with each answer in time, and with time, and is reduced by a
/// factor with each late answer and each refusal (additive increase, multiplicative decrease). So
/// hosts that see the same congested endpoint each move a part of their reads instead of all of
/// them at once.
class EndpointLoad
{
public:
    /// Share of an endpoint without congestion. Shares are integers, so that all architectures
    /// compute the same ones.
    static constexpr std::int64_t wholeShare = 1024;

    /// @brief Records an answer to a read.
    /// @param latency Time from sending the statement to its answer.
    /// @param expected Latency expected from an endpoint without congestion at this distance.
    void recordAnswer(Duration latency, Duration expected, Instant now);

    /// @brief Records a refusal, a failure or a statement that was given up.
    void recordRefusal(Instant now);

    /// @brief Share in [1, wholeShare].
    [[nodiscard]] std::int64_t share(Instant now) const;

    /// @brief Latency that about four of five reads exceed; empty before the first answer.
    [[nodiscard]] std::optional<Duration> lowLatency() const noexcept { return lowLatency_; }

    /// @brief Whether a statement that has taken this long shows congestion.
    [[nodiscard]] static bool isLate(Duration latency, Duration expected) noexcept;

private:
    void setShare(std::int64_t share, Instant now);

    std::int64_t share_ = wholeShare;
    Instant changedAt_{};
    std::optional<Duration> lowLatency_{};
};

} // namespace hyssoprock
