#pragma once

#include <string_view>
#include <vector>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Parser for attributes in the leading comment of a statement.

namespace hyssoprock::sql {

/// @brief Parses a leading sqlcommenter comment: `/*key='value',...*/` with percent-encoded values.
/// @param sql Statement of the caller.
/// @return The attributes in order. Empty if the comment has another format, because it is then an
/// ordinary comment.
[[nodiscard]] std::vector<AttributeSetting> parseLeadingAttributes(std::string_view sql);

} // namespace hyssoprock::sql
