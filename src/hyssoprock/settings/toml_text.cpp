#include "toml_text.hpp"

#include <algorithm>
#include <cstddef>

namespace hyssoprock::internal {

namespace {

/// Kinds of sequences by their first byte, as in table 3-7 of the Unicode standard, which leaves
/// out overlong forms, surrogates and what is above U+10FFFF.
struct Utf8Sequence
{
    unsigned char firstLeast;
    unsigned char firstMost;
    std::size_t bytes;
    unsigned char secondLeast;
    unsigned char secondMost;
};

constexpr unsigned char continuationLeast = 0x80;
constexpr unsigned char continuationMost = 0xBF;

constexpr Utf8Sequence sequences[] = {
    {0xC2, 0xDF, 2, continuationLeast, continuationMost}, {0xE0, 0xE0, 3, 0xA0, continuationMost},
    {0xE1, 0xEC, 3, continuationLeast, continuationMost}, {0xED, 0xED, 3, continuationLeast, 0x9F},
    {0xEE, 0xEF, 3, continuationLeast, continuationMost}, {0xF0, 0xF0, 4, 0x90, continuationMost},
    {0xF1, 0xF3, 4, continuationLeast, continuationMost}, {0xF4, 0xF4, 4, continuationLeast, 0x8F},
};

bool isAscii(char byte)
{
    return static_cast<unsigned char>(byte) < continuationLeast;
}

bool isBetween(char byte, unsigned char least, unsigned char most)
{
    const auto value = static_cast<unsigned char>(byte);
    return value >= least && value <= most;
}

/// Bytes of the character that the text begins with; 0 if it does not begin with one.
std::size_t characterBytes(std::string_view text)
{
    if (isAscii(text.front())) {
        return 1;
    }
    for (const auto &sequence : sequences) {
        if (!isBetween(text.front(), sequence.firstLeast, sequence.firstMost)) {
            continue;
        }
        if (text.size() < sequence.bytes
            || !isBetween(text[1], sequence.secondLeast, sequence.secondMost)) {
            return 0;
        }
        const auto rest = text.substr(2, sequence.bytes - 2);
        return std::all_of(
                   rest.begin(), rest.end(),
                   [](char byte) { return isBetween(byte, continuationLeast, continuationMost); })
                   ? sequence.bytes
                   : 0;
    }
    return 0;
}

/// Goes through a text and keeps track of strings and comments.
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
            if (bytes > 1 && continued_) {
                return CharacterError{
                    line_, column_, "a character outside ASCII after a backslash at a line's end"};
            }
            continued_ = false;
            if (bytes > 1 && place_ == Place::Outside) {
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
    enum class Place : std::uint8_t { Outside, Comment, String, MultiLineString };

    void advance(std::size_t bytes)
    {
        for (; bytes > 0; --bytes, ++position_) {
            if (text_[position_] == '\n') {
                ++line_;
                column_ = 1;
                // A comment ends here. So does an unterminated string, which the parser reports.
                if (place_ != Place::MultiLineString) {
                    place_ = Place::Outside;
                }
            } else {
                ++column_;
            }
        }
    }

    void readAscii(char character)
    {
        switch (place_) {
        case Place::Outside:
            if (character == '#') {
                place_ = Place::Comment;
            } else if (character == '"' || character == '\'') {
                openString(character);
                return;
            }
            break;
        case Place::Comment:
            break;
        case Place::String:
        case Place::MultiLineString:
            if (character == '\\' && quote_ == '"') {
                if (place_ == Place::MultiLineString && skipContinuation()) {
                    return;
                }
                // The escaped character, such as a quote, has no effect on the string's end.
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

    /// Passes over a backslash and the blanks and line ends that it joins.
    bool skipContinuation()
    {
        const auto end = std::min(text_.find_first_not_of(" \t\r\n", position_ + 1), text_.size());
        continued_ = end > position_ + 1;
        if (continued_) {
            advance(end - position_);
        }
        return continued_;
    }

    /// Number of quotes of the current string here, up to a limit.
    [[nodiscard]] std::size_t quotes(std::size_t most) const
    {
        const auto here = text_.substr(position_, most);
        return std::min(here.find_first_not_of(quote_), here.size());
    }

    void openString(char quote)
    {
        quote_ = quote;
        const auto multiLine = quotes(multiLineQuotes) == multiLineQuotes;
        place_ = multiLine ? Place::MultiLineString : Place::String;
        advance(multiLine ? multiLineQuotes : 1);
    }

    void closeString()
    {
        // Up to two quotes may stand in front of the three that end a multi-line string.
        constexpr std::size_t quotesMost = multiLineQuotes + 2;
        const auto multiLine = place_ == Place::MultiLineString;
        const auto found = multiLine ? quotes(quotesMost) : 1;
        if (!multiLine || found >= multiLineQuotes) {
            place_ = Place::Outside;
        }
        advance(found);
    }

    static constexpr std::size_t multiLineQuotes = 3;

    std::string_view text_;
    std::size_t position_ = 0;
    std::uint32_t line_ = 1;
    std::uint32_t column_ = 1;
    Place place_ = Place::Outside;
    bool continued_ = false; ///< The position follows skipContinuation().
    char quote_ = '"';       ///< Of the string that the position is in.
};

} // namespace

std::optional<CharacterError> findCharacterError(std::string_view text)
{
    return Scanner{text}.findError();
}

} // namespace hyssoprock::internal
