#pragma once

#include <string_view>

#include <boost/assert/source_location.hpp>

/// @file
/// @brief Assertions that stay active in every build.

namespace hyssoprock {

/// @brief Ends the process with a message if an invariant is broken.
///
/// A broken invariant means that an answer could be wrong, so stopping is the safe outcome.
/// @param holds The condition.
/// @param invariant What is meant to hold, as a short sentence.
/// @param where Place of the check; leave it at its default.
void check(bool holds, std::string_view invariant,
           const boost::source_location &where = BOOST_CURRENT_LOCATION);

} // namespace hyssoprock
