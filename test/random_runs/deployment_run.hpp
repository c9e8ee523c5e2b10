#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Runs entry hosts, control hosts, endpoints, operators and promotion calls under faults,
/// and checks what callers and endpoints observe.
/// @param seed Seed of everything random.
/// @return Figures of the run.
RunReport runDeployment(std::uint64_t seed);

/// @brief Like runDeployment(), but a promotion neither deposes the former primary, which goes on
/// for 1 to 6 s unless it is told to step down, nor refuses calls with outdated tokens.
/// @param seed Seed of everything random.
/// @return Figures of the run.
RunReport runUnfencedDeployment(std::uint64_t seed);

} // namespace hyssoprock::random_runs
