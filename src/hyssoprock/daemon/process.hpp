#pragma once

#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief The process: roles, signals and listening addresses.

namespace hyssoprock {

/// @brief Runs the roles of the settings until SIGTERM or SIGINT.
/// @param settings Checked settings.
/// @return Exit status: 0 after a stop, 1 if a role could not start.
[[nodiscard]] int runProcess(const Settings &settings);

} // namespace hyssoprock
