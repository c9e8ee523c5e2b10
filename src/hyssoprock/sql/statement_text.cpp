#include <hyssoprock/sql/statement_text.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace hyssoprock::sql {

namespace {

// Replaces the locale-dependent functions of <cctype>, which are not inlined, because it is called
// for each character of each statement.
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

// A function object instead of a function, so that algorithms can inline the call.
constexpr auto isWordCharacter = [](char character) {
    const auto lower = lowerCase(character);
    return (lower >= 'a' && lower <= 'z') || (character >= '0' && character <= '9')
           || character == '_' || character == '$' || static_cast<unsigned char>(character) >= 0x80;
};

std::string lowerCase(std::string_view text)
{
    std::string lower{text};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char character) { return lowerCase(character); });
    return lower;
}

/// Returns the text without leading white space and complete comments.
std::string_view trimLeadingSpaceAndComments(std::string_view text)
{
    for (;;) {
        const auto first = text.find_first_not_of(" \t\r\n\f\v");
        if (first == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(first);
        std::string_view terminator;
        if (text.substr(0, 2) == "/*") {
            terminator = "*/";
        } else if (text.substr(0, 2) == "--") {
            terminator = "\n";
        } else {
            return text;
        }
        const auto end = text.find(terminator, 2);
        if (end == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(end + terminator.size());
    }
}

std::string parseWord(std::string_view &text)
{
    text = trimLeadingSpaceAndComments(text);
    const auto end = std::find_if_not(text.begin(), text.end(), isWordCharacter);
    const auto length = static_cast<std::size_t>(end - text.begin());
    auto word = lowerCase(text.substr(0, length));
    text.remove_prefix(length);
    return word;
}

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &list, std::string_view word)
{
    return std::find(list.begin(), list.end(), word) != list.end();
}

bool equalsIgnoringCase(std::string_view lower, std::string_view text)
{
    return lower.size() == text.size()
           && std::equal(lower.begin(), lower.end(), text.begin(),
                         [](char left, char right) { return left == lowerCase(right); });
}

/// Whether the text contains one of the lower-case words anywhere, including literals and comments.
template <std::size_t Count>
bool containsAny(std::string_view text, const std::array<std::string_view, Count> &words)
{
    auto position = text.begin();
    while (position != text.end()) {
        const auto start = std::find_if(position, text.end(), isWordCharacter);
        position = std::find_if_not(start, text.end(), isWordCharacter);
        const std::string_view found{start, position};
        if (std::any_of(words.begin(), words.end(), [found](std::string_view word) {
                return equalsIgnoringCase(word, found);
            })) {
            return true;
        }
    }
    return false;
}

/// Whether the rest contains only white space, comments and at most one semicolon.
bool isAtEnd(std::string_view text)
{
    text = trimLeadingSpaceAndComments(text);
    if (!text.empty() && text.front() == ';') {
        text.remove_prefix(1);
    }
    return trimLeadingSpaceAndComments(text).empty();
}

std::optional<std::string> parseStringLiteral(std::string_view &text)
{
    text = trimLeadingSpaceAndComments(text);
    if (text.empty() || text.front() != '\'') {
        return std::nullopt;
    }
    std::string value;
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] != '\'') {
            value.push_back(text[i]);
        } else if (i + 1 < text.size() && text[i + 1] == '\'') {
            value.push_back('\'');
            ++i;
        } else {
            text.remove_prefix(i + 1);
            return value;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<SessionCommand> parseSessionCommand(std::string_view sql)
{
    const auto verb = parseWord(sql);
    if ((verb != "set" && verb != "show") || parseWord(sql) != "hyssoprock" || sql.empty()
        || sql.front() != '.') {
        return std::nullopt;
    }
    sql.remove_prefix(1);
    SessionCommand command{verb == "set", parseWord(sql), {}};
    if (command.isAssignment) {
        const auto rest = trimLeadingSpaceAndComments(sql);
        if (!rest.empty() && rest.front() == '=') {
            sql = rest.substr(1);
        } else if (parseWord(sql) != "to") {
            return std::nullopt;
        }
        const auto value = parseStringLiteral(sql);
        if (!value) {
            return std::nullopt;
        }
        command.value = *value;
    }
    return command.name.empty() || !isAtEnd(sql) ? std::nullopt : std::optional{command};
}

std::optional<StatementKind> parseTransactionCommand(std::string_view sql)
{
    const auto verb = parseWord(sql);
    auto afterKeyword = sql;
    const auto keyword = parseWord(afterKeyword);
    if (keyword == "work" || keyword == "transaction") {
        sql = afterKeyword;
    } else if (verb == "start") {
        return std::nullopt;
    }
    if (!isAtEnd(sql)) {
        return std::nullopt;
    }
    if (verb == "begin" || verb == "start") {
        return StatementKind::Begin;
    }
    if (verb == "commit" || verb == "end") {
        return StatementKind::Commit;
    }
    return verb == "rollback" || verb == "abort" ? std::optional{StatementKind::Rollback}
                                                 : std::nullopt;
}

bool hasSeveralStatements(std::string_view sql)
{
    const auto semicolon = sql.find(';');
    return semicolon != std::string_view::npos && !isAtEnd(sql.substr(semicolon));
}

bool mixesTransactionControl(std::string_view sql)
{
    constexpr std::array<std::string_view, 9> controlWords{
        "begin", "start", "commit", "end", "abort", "rollback", "prepare", "call", "do"};
    return hasSeveralStatements(sql) && containsAny(sql, controlWords);
}

bool mayCommit(std::string_view sql)
{
    constexpr std::array<std::string_view, 5> committingVerbs{"commit", "end", "prepare", "call",
                                                              "do"};
    if (hasSeveralStatements(sql)) {
        return mixesTransactionControl(sql);
    }
    return contains(committingVerbs, parseWord(sql));
}

bool usesSavepoints(std::string_view sql)
{
    constexpr std::array<std::string_view, 2> savepointWords{"savepoint", "rollback"};
    return containsAny(sql, savepointWords);
}

bool altersConnection(std::string_view sql)
{
    constexpr std::array<std::string_view, 7> verbs{"set",     "reset", "prepare",   "listen",
                                                    "discard", "load",  "deallocate"};
    while (!sql.empty()) {
        auto statement = sql;
        if (contains(verbs, parseWord(statement))) {
            return true;
        }
        const auto semicolon = sql.find(';');
        sql = semicolon == std::string_view::npos ? std::string_view{} : sql.substr(semicolon + 1);
    }
    return false;
}

} // namespace hyssoprock::sql
