#pragma once

#include <string_view>

#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Conversion between command tags and result kinds.

namespace hyssoprock::sql {

/// @brief Returns the tag of a result for CommandComplete.
/// @param result Result of an endpoint or of the proxy.
/// @return The tag of the endpoint if there is one, otherwise the tag of the result kind.
[[nodiscard]] std::string_view commandTag(const StatementResult &result) noexcept;

/// @brief Returns the result kind for a command tag of an endpoint.
[[nodiscard]] ResultKind resultKind(std::string_view tag) noexcept;

} // namespace hyssoprock::sql
