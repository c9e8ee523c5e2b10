#pragma once

#include <optional>
#include <string>

/// @file
/// @brief Checks flags before Abseil parses them; Abseil would exit with a status other than 2.

namespace hyssoprock {

/// @brief Finds unknown flags and malformed values.
/// @param argc Number of arguments.
/// @param argv Arguments, starting with the program name.
/// @return Error message for the first invalid flag; std::nullopt if all are valid.
[[nodiscard]] std::optional<std::string> findFlagError(int argc, char **argv);

} // namespace hyssoprock
