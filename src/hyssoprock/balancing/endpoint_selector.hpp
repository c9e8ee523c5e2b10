#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <hyssoprock/balancing/endpoint_load.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Selection of the endpoint that runs a read.

namespace hyssoprock {

/// @brief Endpoint that can run a read.
struct EndpointCandidate
{
    const EndpointLoad *load = nullptr; ///< Never null.
    Duration distanceCost{};            ///< Cost of its network distance; 0 in the own data centre.
    Duration connectionCost{};          ///< Additional cost if a connection must be opened.
    Duration oldestWait{};              ///< Age of this host's oldest unanswered command there.
    std::uint32_t rank = 0;             ///< Result: 0 for the first choice.
};

/// @brief Orders endpoints by distance and leaves a near one only as far as it is congested.
///
/// A read takes an endpoint with the probability of its share relative to the greatest one,
/// otherwise the next endpoint by cost. While all are equally congested, reads stay near.
class EndpointSelector
{
public:
    /// @param random Source that outlives the selector.
    explicit EndpointSelector(RandomSource &random) noexcept
        : random_{random}
    {}

    /// @brief Sets the rank of each candidate.
    void rank(std::vector<EndpointCandidate> &candidates, Instant now);

    /// @brief Latency without congestion expected from an endpoint of a service.
    ///
    /// The endpoint's own low latency would hide that it is slower than the others at all times.
    /// @param own Endpoint whose latency is expected.
    /// @param lowest Lowest EndpointLoad::lowLatency() of all endpoints of the service.
    /// @return Empty before the first answer of the service.
    [[nodiscard]] static std::optional<Duration>
    expectedLatency(const EndpointLoad &own, Duration distanceCost, std::optional<Duration> lowest);

private:
    struct Choice
    {
        EndpointCandidate *candidate = nullptr;
        Duration cost{};
        std::int64_t share = 0;
        std::uint64_t tie = 0; ///< Orders endpoints of equal cost at random.
    };

    RandomSource &random_;
    std::vector<Choice> choices_{}; ///< A member to reuse its memory.
};

} // namespace hyssoprock
