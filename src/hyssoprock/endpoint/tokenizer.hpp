#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Tokenizer for the SQL statements of the stand-in.

namespace hyssoprock::endpoint {

enum class TokenKind : std::uint8_t {
    Word,      ///< Identifier or keyword, in lower case unless it was quoted.
    Number,    ///< Digits with an optional fraction.
    Text,      ///< String constant without its quotes.
    Parameter, ///< $n; the text is n.
    Symbol,    ///< Any other single character.
    End,       ///< After the last token.
};

/// @brief Lexical token of a statement.
struct Token
{
    TokenKind kind = TokenKind::End;
    std::string text;
    bool quoted = false; ///< Whether a word was quoted; quoted words are not keywords.
};

/// @brief Splits a text into tokens; comments are skipped.
/// @return The tokens, ending with End, or ProtocolViolation for an unterminated constant or
/// comment.
[[nodiscard]] Result<std::vector<Token>> tokenize(std::string_view text);

} // namespace hyssoprock::endpoint
