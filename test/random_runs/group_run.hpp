#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Control hosts that are replaced at new addresses, lose disks and lose power together.
[[nodiscard]] RunReport runGroup(std::uint64_t seed);

} // namespace hyssoprock::random_runs
