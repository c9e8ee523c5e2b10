#pragma once

#include <functional>
#include <string_view>

#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Rules that tie several settings together.

namespace hyssoprock::internal {

/// @brief Reports an error of a key.
using ReportContradiction = std::function<void(std::string_view key, std::string text)>;

/// @brief Checks all rules.
/// @param settings Settings whose keys are valid one by one.
/// @param report Called for each broken rule with the key to blame, as section.key.
void findContradictions(const Settings &settings, const ReportContradiction &report);
void findContradictions(const PooledSettings &settings, const ReportContradiction &report);

} // namespace hyssoprock::internal
