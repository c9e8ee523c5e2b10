#pragma once

#include <string_view>
#include <vector>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Attributes in the leading comment of a statement.

namespace hyssoprock::sql {

/// @brief Reads a leading sqlcommenter comment: `/*key='value',...*/`, values percent-encoded.
/// @param sql Statement of the caller.
/// @return The attributes in order; none if the comment is in another format, as it then is an
/// ordinary comment.
[[nodiscard]] std::vector<AttributeSetting> parseLeadingAttributes(std::string_view sql);

} // namespace hyssoprock::sql
