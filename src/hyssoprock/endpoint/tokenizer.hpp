#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Tokens of the stand-in's statements.

namespace hyssoprock::endpoint {

/// @brief Kind of a token.
enum class TokenKind : std::uint8_t {
    Word,      ///< Identifier or keyword, in lower case unless it was quoted.
    Number,    ///< Digits with an optional fraction.
    Text,      ///< String constant without its quotes.
    Parameter, ///< $n; the text is n.
    Symbol,    ///< One character.
    End,       ///< After the last token.
};

/// @brief A token.
struct Token
{
    TokenKind kind = TokenKind::End; ///< Kind.
    std::string text;                ///< Text.
    bool quoted = false;             ///< A quoted identifier is never a keyword.
};

/// @brief Cuts a text into tokens; comments are passed over.
/// @return The tokens with End as the last one, or ProtocolViolation.
[[nodiscard]] Result<std::vector<Token>> tokenize(std::string_view text);

} // namespace hyssoprock::endpoint
