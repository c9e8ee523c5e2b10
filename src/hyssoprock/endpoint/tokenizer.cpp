#include <hyssoprock/endpoint/tokenizer.hpp>

#include <cctype>
#include <optional>
#include <utility>

namespace hyssoprock::endpoint {

namespace {

bool isWordStart(char c) noexcept
{
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'
           || static_cast<unsigned char>(c) >= 0x80;
}

bool isDigit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

bool isWordPart(char c) noexcept
{
    return isWordStart(c) || isDigit(c) || c == '.' || c == '$';
}

bool isSpace(char c) noexcept
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v';
}

class Tokenizer
{
public:
    explicit Tokenizer(std::string_view text)
        : text_{text}
    {}

    Result<std::vector<Token>> run()
    {
        while (skipBlanks()) {
            if (auto token = next()) {
                tokens_.push_back(std::move(*token));
            } else {
                return failure(ErrorKind::ProtocolViolation, "unterminated constant or comment");
            }
        }
        if (unterminated_) {
            return failure(ErrorKind::ProtocolViolation, "unterminated constant or comment");
        }
        tokens_.emplace_back();
        return std::move(tokens_);
    }

private:
    /// Skips white space and comments.
    /// @return Whether a token follows.
    bool skipBlanks()
    {
        while (offset_ < text_.size()) {
            const auto rest = text_.substr(offset_);
            if (isSpace(rest.front())) {
                ++offset_;
            } else if (rest.starts_with("--")) {
                const auto end = rest.find('\n');
                offset_ = end == std::string_view::npos ? text_.size() : offset_ + end;
            } else if (rest.starts_with("/*")) {
                const auto end = rest.find("*/", 2);
                unterminated_ = end == std::string_view::npos;
                offset_ = unterminated_ ? text_.size() : offset_ + end + 2;
            } else {
                return true;
            }
        }
        return false;
    }

    template <class Predicate>
    std::string takeWhile(Predicate predicate)
    {
        const auto start = offset_;
        while (offset_ < text_.size() && predicate(text_[offset_])) {
            ++offset_;
        }
        return std::string{text_.substr(start, offset_ - start)};
    }

    std::optional<Token> next()
    {
        const char c = text_[offset_];
        if (c == '\'' || c == '"') {
            return quoted(c);
        }
        if (isWordStart(c)) {
            auto word = takeWhile(isWordPart);
            for (auto &letter : word) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            return Token{TokenKind::Word, std::move(word)};
        }
        if (isDigit(c)) {
            return Token{TokenKind::Number,
                         takeWhile([](char d) { return isDigit(d) || d == '.'; })};
        }
        ++offset_;
        if (c == '$' && offset_ < text_.size() && isDigit(text_[offset_])) {
            return Token{TokenKind::Parameter, takeWhile(isDigit)};
        }
        return Token{TokenKind::Symbol, std::string(1, c)};
    }

    std::optional<Token> quoted(char quote)
    {
        Token token{quote == '"' ? TokenKind::Word : TokenKind::Text, {}, quote == '"'};
        for (++offset_; offset_ < text_.size(); ++offset_) {
            if (text_[offset_] != quote) {
                token.text.push_back(text_[offset_]);
            } else if (offset_ + 1 < text_.size() && text_[offset_ + 1] == quote) {
                token.text.push_back(quote);
                ++offset_;
            } else {
                ++offset_;
                return token;
            }
        }
        return std::nullopt;
    }

    std::string_view text_;
    std::size_t offset_ = 0;
    bool unterminated_ = false;
    std::vector<Token> tokens_;
};

} // namespace

Result<std::vector<Token>> tokenize(std::string_view text)
{
    return Tokenizer{text}.run();
}

} // namespace hyssoprock::endpoint
