#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Replication with lost messages, crashes and promotions: an entry that a majority held is
/// in the log of every later primary, and tables always agree with their log.
[[nodiscard]] RunReport runEndpoint(std::uint64_t seed);

} // namespace hyssoprock::random_runs
