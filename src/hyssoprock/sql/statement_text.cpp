#include <hyssoprock/sql/statement_text.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace hyssoprock::sql {

namespace {

// Written out, as the functions of <cctype> are calls that depend on the locale, and each character
// of each statement is looked at.
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

// A function object, so that the algorithms that it is passed to call it inline.
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

/// Removes spaces and complete comments at the beginning.
std::string_view withoutLeadingSpace(std::string_view text)
{
    for (;;) {
        const auto first = text.find_first_not_of(" \t\r\n\f\v");
        if (first == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(first);
        std::string_view endMark;
        if (text.substr(0, 2) == "/*") {
            endMark = "*/";
        } else if (text.substr(0, 2) == "--") {
            endMark = "\n";
        } else {
            return text;
        }
        const auto end = text.find(endMark, 2);
        if (end == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(end + endMark.size());
    }
}

std::string takeWord(std::string_view &text)
{
    text = withoutLeadingSpace(text);
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

bool sameLetters(std::string_view lower, std::string_view text)
{
    return lower.size() == text.size()
           && std::equal(lower.begin(), lower.end(), text.begin(),
                         [](char left, char right) { return left == lowerCase(right); });
}

/// Whether one of the words, given in lower case, stands anywhere: literals and comments are not
/// told apart.
template <std::size_t Count>
bool containsAny(std::string_view text, const std::array<std::string_view, Count> &words)
{
    auto place = text.begin();
    while (place != text.end()) {
        const auto start = std::find_if(place, text.end(), isWordCharacter);
        place = std::find_if_not(start, text.end(), isWordCharacter);
        const std::string_view found{start, place};
        if (std::any_of(words.begin(), words.end(),
                        [found](std::string_view word) { return sameLetters(word, found); })) {
            return true;
        }
    }
    return false;
}

/// True if nothing but spaces, comments and one semicolon is left.
bool atEnd(std::string_view text)
{
    text = withoutLeadingSpace(text);
    if (!text.empty() && text.front() == ';') {
        text.remove_prefix(1);
    }
    return withoutLeadingSpace(text).empty();
}

std::optional<std::string> takeValue(std::string_view &text)
{
    text = withoutLeadingSpace(text);
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
    const auto verb = takeWord(sql);
    if ((verb != "set" && verb != "show") || takeWord(sql) != "hyssoprock" || sql.empty()
        || sql.front() != '.') {
        return std::nullopt;
    }
    sql.remove_prefix(1);
    SessionCommand command{verb == "set", takeWord(sql), {}};
    if (command.isAssignment) {
        const auto rest = withoutLeadingSpace(sql);
        if (!rest.empty() && rest.front() == '=') {
            sql = rest.substr(1);
        } else if (takeWord(sql) != "to") {
            return std::nullopt;
        }
        const auto value = takeValue(sql);
        if (!value) {
            return std::nullopt;
        }
        command.value = *value;
    }
    return command.name.empty() || !atEnd(sql) ? std::nullopt : std::optional{command};
}

std::optional<StatementKind> parseTransactionCommand(std::string_view sql)
{
    const auto verb = takeWord(sql);
    auto afterNoise = sql;
    const auto noise = takeWord(afterNoise);
    if (noise == "work" || noise == "transaction") {
        sql = afterNoise;
    } else if (verb == "start") {
        return std::nullopt;
    }
    if (!atEnd(sql)) {
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
    return semicolon != std::string_view::npos && !atEnd(sql.substr(semicolon));
}

bool mixesTransactionControl(std::string_view sql)
{
    constexpr std::array<std::string_view, 9> control{
        "begin", "start", "commit", "end", "abort", "rollback", "prepare", "call", "do"};
    return hasSeveralStatements(sql) && containsAny(sql, control);
}

bool mayCommit(std::string_view sql)
{
    constexpr std::array<std::string_view, 5> committing{"commit", "end", "prepare", "call", "do"};
    if (hasSeveralStatements(sql)) {
        return mixesTransactionControl(sql);
    }
    return contains(committing, takeWord(sql));
}

bool usesSavepoints(std::string_view sql)
{
    constexpr std::array<std::string_view, 2> undoing{"savepoint", "rollback"};
    return containsAny(sql, undoing);
}

bool altersConnection(std::string_view sql)
{
    constexpr std::array<std::string_view, 7> verbs{"set",     "reset", "prepare",   "listen",
                                                    "discard", "load",  "deallocate"};
    while (!sql.empty()) {
        auto statement = sql;
        if (contains(verbs, takeWord(statement))) {
            return true;
        }
        const auto semicolon = sql.find(';');
        sql = semicolon == std::string_view::npos ? std::string_view{} : sql.substr(semicolon + 1);
    }
    return false;
}

} // namespace hyssoprock::sql
