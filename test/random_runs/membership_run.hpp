#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Entry hosts under loss, partitions, crashes, restarts and departures.
[[nodiscard]] RunReport runMembership(std::uint64_t seed);

} // namespace hyssoprock::random_runs
