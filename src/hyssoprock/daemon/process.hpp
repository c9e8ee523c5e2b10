#pragma once

#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Main process: roles, signals and listening addresses.

namespace hyssoprock {

/// @brief Runs the configured roles until SIGTERM or SIGINT.
/// @param settings Validated settings.
/// @return Exit status: 0 after a regular stop, 1 if a role cannot start.
[[nodiscard]] int runProcess(const Settings &settings);

} // namespace hyssoprock
