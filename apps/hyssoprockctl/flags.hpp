#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/flags/declare.h>

/// @file
/// @brief Flags that are used by more than one source file.

ABSL_DECLARE_FLAG(std::vector<std::string>, control);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::string, operator_name);
ABSL_DECLARE_FLAG(std::uint32_t, timeout_ms);
ABSL_DECLARE_FLAG(bool, watch);
ABSL_DECLARE_FLAG(std::uint32_t, interval_ms);
ABSL_DECLARE_FLAG(std::uint32_t, count);
