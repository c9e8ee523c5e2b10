#pragma once

#include <cstdint>

#include "run_report.hpp"

namespace hyssoprock::random_runs {

/// @brief Damages encoded messages and decodes them: no crash, no huge allocation.
[[nodiscard]] RunReport runCodec(std::uint64_t seed);

} // namespace hyssoprock::random_runs
