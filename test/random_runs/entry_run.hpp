#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Callers that roam among entry hosts while connections break, answers come late,
/// primaries change, hosts are cut off and leave, and rules change.
[[nodiscard]] RunReport runEntry(std::uint64_t seed);

} // namespace hyssoprock::random_runs
