#include "toml_text.hpp"

#include <algorithm>
#include <cstddef>

namespace hyssoprock::internal {

namespace {

/// Well-formed sequences by their first byte, from table 3-7 of the Unicode standard, which
/// excludes overlong forms, surrogates and code points above U+10FFFF.
struct Utf8Sequence
{
    unsigned char firstByteMin;
    unsigned char firstByteMax;
    std::size_t bytes;
    unsigned char secondByteMin;
    unsigned char secondByteMax;
};

constexpr unsigned char continuationByteMin = 0x80;
constexpr unsigned char continuationByteMax = 0xBF;

constexpr Utf8Sequence sequences[] = {
    {0xC2, 0xDF, 2, continuationByteMin, continuationByteMax},
    {0xE0, 0xE0, 3, 0xA0, continuationByteMax},
    {0xE1, 0xEC, 3, continuationByteMin, continuationByteMax},
    {0xED, 0xED, 3, continuationByteMin, 0x9F},
    {0xEE, 0xEF, 3, continuationByteMin, continuationByteMax},
    {0xF0, 0xF0, 4, 0x90, continuationByteMax},
    {0xF1, 0xF3, 4, continuationByteMin, continuationByteMax},
    {0xF4, 0xF4, 4, continuationByteMin, 0x8F},
};

bool isAscii(char byte)
{
    return static_cast<unsigned char>(byte) < continuationByteMin;
}

bool isBetween(char byte, unsigned char least, unsigned char most)
{
    const auto value = static_cast<unsigned char>(byte);
    return value >= least && value <= most;
}

/// Size of the first character in bytes; 0 if the text does not begin with valid UTF-8.
std::size_t characterBytes(std::string_view text)
{
    if (isAscii(text.front())) {
        return 1;
    }
    for (const auto &sequence : sequences) {
        if (!isBetween(text.front(), sequence.firstByteMin, sequence.firstByteMax)) {
            continue;
        }
        if (text.size() < sequence.bytes
            || !isBetween(text[1], sequence.secondByteMin, sequence.secondByteMax)) {
            return 0;
        }
        const auto rest = text.substr(2, sequence.bytes - 2);
        return std::all_of(rest.begin(), rest.end(),
                           [](char byte) {
                               return isBetween(byte, continuationByteMin, continuationByteMax);
                           })
                   ? sequence.bytes
                   : 0;
    }
    return 0;
}

/// Scans a text and tracks whether it is in a string or a comment.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_{text}
    {}

    std::optional<CharacterError> findError()
    {
        while (position_ < text_.size()) {
            const auto bytes = characterBytes(text_.substr(position_));
            if (bytes == 0) {
                return CharacterError{line_, column_, "a byte that is not UTF-8"};
            }
            if (bytes > 1 && afterContinuation_) {
                return CharacterError{
                    line_, column_, "a character outside ASCII after a backslash at a line's end"};
            }
            afterContinuation_ = false;
            if (bytes > 1 && context_ == Context::Outside) {
                return CharacterError{line_, column_,
                                      "a character outside ASCII must be in quotes or a comment"};
            }
            if (bytes > 1) {
                position_ += bytes;
                ++column_;
            } else {
                readAscii(text_[position_]);
            }
        }
        return std::nullopt;
    }

private:
    enum class Context : std::uint8_t { Outside, Comment, String, MultiLineString };

    void advance(std::size_t bytes)
    {
        for (; bytes > 0; --bytes, ++position_) {
            if (text_[position_] == '\n') {
                ++line_;
                column_ = 1;
                // Ends a comment, and an unterminated string, which the parser reports.
                if (context_ != Context::MultiLineString) {
                    context_ = Context::Outside;
                }
            } else {
                ++column_;
            }
        }
    }

    void readAscii(char character)
    {
        switch (context_) {
        case Context::Outside:
            if (character == '#') {
                context_ = Context::Comment;
            } else if (character == '"' || character == '\'') {
                openString(character);
                return;
            }
            break;
        case Context::Comment:
            break;
        case Context::String:
        case Context::MultiLineString:
            if (character == '\\' && quote_ == '"') {
                if (context_ == Context::MultiLineString && skipContinuation()) {
                    return;
                }
                // An escaped character, such as a quote, does not end the string.
                advance(position_ + 1 < text_.size() && isAscii(text_[position_ + 1]) ? 2 : 1);
                return;
            }
            if (character == quote_) {
                closeString();
                return;
            }
            break;
        }
        advance(1);
    }

    /// Skips a backslash and the blanks and line ends after it; false if none follow.
    bool skipContinuation()
    {
        const auto end = std::min(text_.find_first_not_of(" \t\r\n", position_ + 1), text_.size());
        afterContinuation_ = end > position_ + 1;
        if (afterContinuation_) {
            advance(end - position_);
        }
        return afterContinuation_;
    }

    /// Counts consecutive quotes of the current string from the position on, up to a limit.
    [[nodiscard]] std::size_t countQuotes(std::size_t countMax) const
    {
        const auto here = text_.substr(position_, countMax);
        return std::min(here.find_first_not_of(quote_), here.size());
    }

    void openString(char quote)
    {
        quote_ = quote;
        const auto multiLine = countQuotes(multiLineQuoteCount) == multiLineQuoteCount;
        context_ = multiLine ? Context::MultiLineString : Context::String;
        advance(multiLine ? multiLineQuoteCount : 1);
    }

    void closeString()
    {
        // Up to two quotes may precede the three that end a multi-line string.
        constexpr std::size_t quoteCountMax = multiLineQuoteCount + 2;
        const auto multiLine = context_ == Context::MultiLineString;
        const auto found = multiLine ? countQuotes(quoteCountMax) : 1;
        if (!multiLine || found >= multiLineQuoteCount) {
            context_ = Context::Outside;
        }
        advance(found);
    }

    static constexpr std::size_t multiLineQuoteCount = 3;

    std::string_view text_;
    std::size_t position_ = 0;
    std::uint32_t line_ = 1;
    std::uint32_t column_ = 1;
    Context context_ = Context::Outside;
    bool afterContinuation_ = false; ///< The position follows a skipped line continuation.
    char quote_ = '"';               ///< Delimiter of the current string.
};

} // namespace

std::optional<CharacterError> findCharacterError(std::string_view text)
{
    return Scanner{text}.findError();
}

} // namespace hyssoprock::internal
