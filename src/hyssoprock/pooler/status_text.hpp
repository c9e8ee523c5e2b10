#pragma once

#include <string>

#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Output of `hyssoprockctl pooled status`.

namespace hyssoprock {

/// @brief Formats the status of a pooled deployment as tables.
/// @return Several lines, each ending in a line feed.
[[nodiscard]] std::string describe(const PooledStatusResponse &status);

/// @brief Formats the status of a pooled deployment as JSON.
/// @return One object on a single line.
[[nodiscard]] std::string toJson(const PooledStatusResponse &status);

} // namespace hyssoprock
