#pragma once

#include <cstdint>
#include <map>
#include <string>

/// @file
/// @brief What a randomised run reports.

namespace hyssoprock::random_runs {

/// @brief Figures of one run. A broken invariant ends the process through check() instead.
struct RunReport
{
    std::uint64_t steps = 0;                     ///< Events handled.
    std::map<std::string, std::uint64_t> faults; ///< Faults brought about, by kind.
    std::map<std::string, std::uint64_t> events; ///< Things that happened, for example elections.
};

} // namespace hyssoprock::random_runs
