#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Coordinators, entry hosts and endpoints under every kind of fault at once: no
/// acknowledged write is lost, no old primary is believed, and the groups recover.
[[nodiscard]] RunReport runFailover(std::uint64_t seed);

/// @brief One primary lost at a time in a healthy system with default settings: how long writes
/// have no primary.
[[nodiscard]] RunReport runFailoverGap(std::uint64_t seed);

} // namespace hyssoprock::random_runs
