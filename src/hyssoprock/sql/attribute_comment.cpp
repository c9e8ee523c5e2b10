#include <hyssoprock/sql/attribute_comment.hpp>

#include <charconv>
#include <optional>
#include <string>

namespace hyssoprock::sql {

namespace {

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        unsigned value = 0;
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const auto *digits = text.data() + i + 1;
        const auto [end, error] = std::from_chars(digits, digits + 2, value, 16);
        if (error != std::errc{} || end != digits + 2) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(value));
        i += 2;
    }
    return decoded;
}

void skipWhitespace(std::string_view &text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    text.remove_prefix(first == std::string_view::npos ? text.size() : first);
}

/// Consumes one `key='value'`. A quote within a value is escaped as \'.
std::optional<AttributeSetting> parseField(std::string_view &text)
{
    const auto equals = text.find("='");
    if (equals == std::string_view::npos || equals == 0) {
        return std::nullopt;
    }
    const auto key = percentDecoded(text.substr(0, equals));
    text.remove_prefix(equals + 2);
    std::string encodedValue;
    std::size_t i = 0;
    while (i < text.size() && text[i] != '\'') {
        i += text[i] == '\\' && i + 1 < text.size() ? 1 : 0;
        encodedValue.push_back(text[i]);
        ++i;
    }
    const auto value = percentDecoded(encodedValue);
    if (i >= text.size() || !key || !value) {
        return std::nullopt;
    }
    text.remove_prefix(i + 1);
    return AttributeSetting{*key, *value};
}

} // namespace

std::vector<AttributeSetting> parseLeadingAttributes(std::string_view sql)
{
    skipWhitespace(sql);
    if (sql.substr(0, 2) != "/*") {
        return {};
    }
    const auto end = sql.find("*/", 2);
    if (end == std::string_view::npos) {
        return {};
    }
    auto text = sql.substr(2, end - 2);
    std::vector<AttributeSetting> fields;
    for (skipWhitespace(text); !text.empty(); skipWhitespace(text)) {
        const auto field = parseField(text);
        if (!field) {
            return {};
        }
        fields.push_back(*field);
        skipWhitespace(text);
        if (!text.empty() && text.front() != ',') {
            return {};
        }
        text.remove_prefix(text.empty() ? 0 : 1);
    }
    return fields;
}

} // namespace hyssoprock::sql
