#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief A Raft group under loss, partitions, crashes, full disks, lost data and voter changes.
[[nodiscard]] RunReport runConsensus(std::uint64_t seed);

} // namespace hyssoprock::random_runs
