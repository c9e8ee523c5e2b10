#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Formatting of JSON values.

namespace hyssoprock {

/// @brief Formats a JSON string: quoted and escaped.
/// @param text UTF-8 text.
[[nodiscard]] std::string jsonString(std::string_view text);

/// @brief Builds a JSON object.
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
    /// @brief Adds a boolean.
    JsonObject &flag(std::string_view key, bool value)
    {
        return raw(key, value ? "true" : "false");
    }
    /// @brief Adds a value that is already formatted as JSON.
    JsonObject &raw(std::string_view key, const std::string &value)
    {
        body_ += (body_.empty() ? "" : ", ") + jsonString(key) + ": " + value;
        return *this;
    }
    /// @brief Returns the complete object.
    [[nodiscard]] std::string str() const { return "{" + body_ + "}"; }

private:
    std::string body_{};
};

/// @brief Formats a JSON array.
/// @param items Items.
/// @param toText Function that formats an item as JSON.
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
