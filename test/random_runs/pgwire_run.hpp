#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Sends callers' messages in pieces and damaged: the result does not depend on the pieces,
/// and nothing crashes the decoder.
[[nodiscard]] RunReport runPgwire(std::uint64_t seed);

} // namespace hyssoprock::random_runs
