#pragma once

#include <functional>
#include <string_view>

#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Constraints that span several settings.

namespace hyssoprock::internal {

/// @brief Receives the key, as section.key, and the text of a violated constraint.
using ReportViolation = std::function<void(std::string_view key, std::string text)>;

/// @brief Checks the constraints that span several settings.
/// @param settings Settings in which each key was validated by itself.
/// @param report Called once for each violated constraint.
void checkConstraints(const Settings &settings, const ReportViolation &report);
void checkConstraints(const PooledSettings &settings, const ReportViolation &report);

} // namespace hyssoprock::internal
