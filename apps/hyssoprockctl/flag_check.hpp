#pragma once

#include <optional>
#include <string>

/// @file
/// @brief Checks flags before Abseil does, which would end the process with another exit status.

namespace hyssoprock {

/// @brief Looks for unknown flags and malformed values.
/// @param argc Number of arguments.
/// @param argv Arguments, the program's name first.
/// @return What is wrong with the first faulty flag, or nothing.
[[nodiscard]] std::optional<std::string> findFlagError(int argc, char **argv);

} // namespace hyssoprock
