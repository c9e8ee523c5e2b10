#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Entry hosts lease connections from changing leaders while hosts crash, restart and are
/// cut off, with clocks that drift and answers that are lost: an endpoint never has more
/// connections than its limit allows, and with the faults over all demand is met.
[[nodiscard]] RunReport runLimits(std::uint64_t seed);

} // namespace hyssoprock::random_runs
