#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// @brief What a randomised run reports.

namespace hyssoprock::random_runs {

/// @brief Figures of one run. A broken invariant ends the process through check() instead.
struct RunReport
{
    std::uint64_t steps = 0;                     ///< Events handled.
    std::map<std::string, std::uint64_t> faults; ///< Faults brought about, by kind.
    std::map<std::string, std::uint64_t> events; ///< Things that happened, for example elections.
    std::map<std::string, std::vector<std::uint64_t>>
        samples; ///< Measured values, unit in the name.
};

} // namespace hyssoprock::random_runs
