#pragma once

#include <string_view>

#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Command tags and what they report.

namespace hyssoprock::sql {

/// @brief Tag of a result for CommandComplete.
/// @param result Result of an endpoint or of the proxy.
/// @return The endpoint's own tag if it has one, otherwise the one of its kind.
[[nodiscard]] std::string_view commandTag(const StatementResult &result) noexcept;

/// @brief What a command tag of an endpoint reports.
[[nodiscard]] ResultKind resultKind(std::string_view tag) noexcept;

} // namespace hyssoprock::sql
