#pragma once

#include <string_view>

#include <boost/assert/source_location.hpp>

/// @file
/// @brief Assertions that stay active in every build.

namespace hyssoprock {

/// @brief Aborts the process with a message if an invariant is violated.
///
/// A violated invariant means that an answer could be wrong, so aborting is the safe outcome.
/// @param holds Condition that must be true.
/// @param invariant Description of the condition, as a short sentence.
/// @param where Source location of the check; leave it at its default.
void check(bool holds, std::string_view invariant,
           const boost::source_location &where = BOOST_CURRENT_LOCATION);

} // namespace hyssoprock
