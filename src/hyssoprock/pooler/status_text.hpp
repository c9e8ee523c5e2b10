#pragma once

#include <string>

#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief What `hyssoprockctl pooled status` prints.

namespace hyssoprock {

/// @brief Status of a pooled deployment as tables.
/// @param status Answer of a control host.
/// @return Several lines.
[[nodiscard]] std::string describe(const PooledStatusResponse &status);

/// @brief Status of a pooled deployment as JSON.
/// @param status Answer of a control host.
/// @return One object on one line.
[[nodiscard]] std::string toJson(const PooledStatusResponse &status);

} // namespace hyssoprock
