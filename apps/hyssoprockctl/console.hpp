#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief What all commands share: output, errors and numbers.

namespace hyssoprock {

/// @brief Words of a command after its name.
using Arguments = std::vector<std::string>;

/// @brief Exit status for a command line that cannot be understood.
constexpr int exitUsage = 2;

/// @brief Where a command writes.
struct Console
{
    std::ostream &out;   ///< Results.
    std::ostream &error; ///< Messages for people.
};

/// @brief Prints an error, as JSON with --json.
/// @return Exit status of its kind.
[[nodiscard]] int fail(const Console &console, const Error &error);

/// @brief Prints what is wrong with the command line, and how it is used.
/// @return Exit status 2.
[[nodiscard]] int usageError(const Console &console, const std::string &text);

/// @brief Reads a decimal number.
/// @param text The whole text must be the number.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace hyssoprock
