#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Checks the characters of a settings file before the parser reads it.

namespace hyssoprock::internal {

/// @brief A character that TOML 1.0 does not allow where it stands.
struct CharacterError
{
    std::uint32_t line = 0;   ///< From 1.
    std::uint32_t column = 0; ///< From 1, in characters.
    std::string text{};       ///< What is wrong.
};

/// @brief Finds bytes that are not UTF-8, and characters outside ASCII that are neither in a string
/// or quoted key nor in a comment. toml++ 3.3 runs into undefined behaviour on a bare key with such
/// a letter, and on such a character behind a backslash that joins two lines of a string, which is
/// refused although TOML allows it. All other errors of syntax are left to the parser.
/// @param text Contents of the file without a byte order mark.
/// @return The first such place; nothing if there is none.
[[nodiscard]] std::optional<CharacterError> findCharacterError(std::string_view text);

} // namespace hyssoprock::internal
