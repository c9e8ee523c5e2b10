#pragma once

#include <cstdint>
#include <span>

#include "run_report.hpp"

/// @file
/// @brief The list of randomised runs.

namespace hyssoprock::random_runs {

/// @brief One randomised run: the same seed always does the same.
struct NamedRun
{
    const char *name;                     ///< Name for --part.
    RunReport (*run)(std::uint64_t seed); ///< Runs to its end; a broken invariant ends the process.
};

/// @brief All runs, in the order in which they are made.
[[nodiscard]] std::span<const NamedRun> namedRuns() noexcept;

} // namespace hyssoprock::random_runs
