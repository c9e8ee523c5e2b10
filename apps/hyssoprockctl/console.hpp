#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Output, error reporting and number parsing shared by all commands.

namespace hyssoprock {

/// @brief Command-line arguments after the name of a command, without flags.
using Arguments = std::vector<std::string>;

/// @brief Exit status for an invalid command line.
constexpr int exitUsage = 2;

/// @brief Output streams of a command.
struct Console
{
    std::ostream &out;   ///< Results.
    std::ostream &error; ///< Error messages, except with --json.
};

/// @brief Prints an error, as JSON with --json.
/// @return Exit status that belongs to the kind of the error.
[[nodiscard]] int fail(const Console &console, const Error &error);

/// @brief Prints the error in the command line, followed by the help text.
/// @return Exit status 2.
[[nodiscard]] int usageError(const Console &console, const std::string &text);

/// @brief Parses an unsigned decimal number.
/// @return std::nullopt unless the whole text is a number that fits.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace hyssoprock
