#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Text of JSON values.

namespace hyssoprock {

/// @brief Text of a JSON string.
/// @param text UTF-8 text.
/// @return Quoted and escaped.
[[nodiscard]] std::string jsonString(std::string_view text);

/// @brief Builds one JSON object, member by member.
class JsonObject
{
public:
    /// @brief Adds a string.
    JsonObject &text(std::string_view key, std::string_view value)
    {
        return raw(key, jsonString(value));
    }
    /// @brief Adds a number.
    template <class Number>
    JsonObject &number(std::string_view key, Number value)
    {
        return raw(key, std::to_string(value));
    }
    /// @brief Adds a truth value.
    JsonObject &flag(std::string_view key, bool value)
    {
        return raw(key, value ? "true" : "false");
    }
    /// @brief Adds a value that is JSON already.
    JsonObject &raw(std::string_view key, const std::string &value)
    {
        body_ += (body_.empty() ? "" : ", ") + jsonString(key) + ": " + value;
        return *this;
    }
    /// @brief The whole object.
    [[nodiscard]] std::string str() const { return "{" + body_ + "}"; }

private:
    std::string body_{};
};

/// @brief Text of a JSON list.
/// @param items Items.
/// @param toText Gives the JSON text of an item.
template <class Item, class Function>
[[nodiscard]] std::string jsonList(const std::vector<Item> &items, Function toText)
{
    std::string body;
    for (const auto &item : items) {
        body += (body.empty() ? "" : ", ") + toText(item);
    }
    return "[" + body + "]";
}

} // namespace hyssoprock
