#pragma once

#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Entries that promotions have given up.

namespace hyssoprock {

/// @brief Adds the start of a term, and removes those that no longer decide anything.
/// @param known Starts of earlier terms, oldest first.
/// @param start Start of a newer term; ignored if its term is unknown.
void recordTermStart(std::vector<TermStart> &known, const TermStart &start);

/// @brief Whether a log ends with entries that a promotion has given up, so that readers of the
/// newer term have not seen them.
/// @param known Starts of terms.
/// @param end End of the log.
[[nodiscard]] bool holdsGivenUpEntries(const std::vector<TermStart> &known, LogPosition end);

} // namespace hyssoprock
