#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Callers of all read rules run single statements and transactions, with variables and
/// prepared statements, through one Pooler and three endpoints, while connections break, endpoints
/// fall silent, end, lag and are promoted: see CallerExpectations for what is checked. With the
/// faults over, every statement is answered and a statement of each rule succeeds.
[[nodiscard]] RunReport runPooler(std::uint64_t seed);
/// @brief The same with Admission::Fair.
[[nodiscard]] RunReport runFairPooler(std::uint64_t seed);

/// @brief The same with PoolerSettings::evenBalancing.
[[nodiscard]] RunReport runEvenPooler(std::uint64_t seed);

} // namespace hyssoprock::random_runs
