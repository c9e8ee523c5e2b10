#pragma once

#include <cstdint>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Deterministic pseudo-random numbers.

namespace hyssoprock {

/// @brief Generator of the SplitMix64 family: the same seed always gives the same sequence.
class RandomSource
{
public:
    /// @brief Seeds the generator.
    /// @param seed Any value.
    explicit constexpr RandomSource(std::uint64_t seed) noexcept
        : state_{seed}
    {}

    /// @brief Generates the next number of the sequence.
    /// @return 64 uniformly distributed bits.
    constexpr std::uint64_t next() noexcept
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    /// @brief Generates a number below a bound.
    /// @param bound Exclusive upper bound; 0 gives 0.
    /// @return A number in [0, bound).
    constexpr std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// @brief Returns true with a given probability.
    /// @param percent Probability in percent.
    /// @return Whether the event occurs.
    constexpr bool chance(std::uint64_t percent) noexcept { return below(100) < percent; }

    /// @brief Generates a duration in a closed range.
    /// @param least Inclusive lower bound.
    /// @param most Inclusive upper bound, at least the lower one.
    /// @return Uniformly distributed duration in [least, most].
    constexpr Duration between(Duration least, Duration most) noexcept
    {
        const auto span = static_cast<std::uint64_t>((most - least).count()) + 1;
        return least + Duration{static_cast<std::int64_t>(below(span))};
    }

private:
    std::uint64_t state_;
};

} // namespace hyssoprock
