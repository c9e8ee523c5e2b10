#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Checks the characters of a settings file before the parser reads it.

namespace hyssoprock::internal {

/// @brief A character that TOML 1.0 does not allow at its position.
struct CharacterError
{
    std::uint32_t line = 0;   ///< From 1.
    std::uint32_t column = 0; ///< From 1, in characters.
    std::string text{};       ///< Description of the error.
};

/// @brief Finds bytes that are not UTF-8, and characters outside ASCII that are neither in a string
/// or quoted key nor in a comment. toml++ 3.3 has undefined behaviour on a bare key with such a
/// letter, and on such a character after a line continuation in a string, which is rejected
/// although TOML allows it. All other syntax errors are left to the parser.
/// @param text Contents of the file without a byte order mark.
/// @return First such error; std::nullopt if there is none.
[[nodiscard]] std::optional<CharacterError> findCharacterError(std::string_view text);

} // namespace hyssoprock::internal
