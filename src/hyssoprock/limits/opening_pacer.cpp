#include <hyssoprock/limits/opening_pacer.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// At a bound of one. A connection becomes free when another host's statement ends.
constexpr Duration pauseMin = milliseconds{40};
// Hosts that return at the same moment begin to open several connections at different times. One
// opening each, of 27 hosts, occupies the four slots of an endpoint for 81 ms.
constexpr Duration growthSpread = milliseconds{300};

} // namespace

void OpeningPacer::restart(Instant now, RandomSource &random) noexcept
{
    parts_ = std::min(parts_, partsPerOpening);
    growsFrom_ = now + random.between(Duration::zero(), growthSpread);
}

void OpeningPacer::recordAccepted(Instant now) noexcept
{
    const auto most = now < growsFrom_ ? partsPerOpening : boundMax * partsPerOpening;
    parts_ = std::max(parts_, std::min(parts_ + partsPerOpening, most));
    pausedUntil_ = now;
}

void OpeningPacer::recordRefused(Instant now, RandomSource &random) noexcept
{
    parts_ = std::max(parts_ / 2, 1U);
    const auto pause = pauseMin * std::max(partsPerOpening / parts_, 1U);
    pausedUntil_ = now + random.between(pause / 2, pause * 3 / 2);
}

std::uint32_t OpeningPacer::bound() const noexcept
{
    return std::max(parts_ / partsPerOpening, 1U);
}

} // namespace hyssoprock
