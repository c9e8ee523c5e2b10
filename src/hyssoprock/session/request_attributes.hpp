#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Attributes that a caller gives to a request.

namespace hyssoprock {

/// @brief What a request does to data.
enum class RequestClass : std::uint8_t {
    Write, ///< May change data; the safe default.
    Read,  ///< Changes nothing, and may be sent again.
};

/// @brief Attributes of one request. Absent ones have the safest meaning.
struct RequestAttributes
{
    RequestClass requestClass = RequestClass::Write; ///< `class`.
    std::string kind{};                              ///< `kind`: record kind.
    bool repeatable = false;                      ///< `repeatable`: running it twice does no harm.
    std::optional<Duration> maxAge{};             ///< `max_age_ms`: lowers the rule's allowance.
    std::string requestId{};                      ///< `request_id`: settles an unknown outcome.
    std::vector<std::uint32_t> understands{};     ///< `understands`: schema versions, ascending.
    std::optional<std::uint32_t> writesVersion{}; ///< `writes_version`: schema version written.

    [[nodiscard]] bool operator==(const RequestAttributes &) const = default;
};

/// @brief Longest request id, in bytes.
inline constexpr std::size_t requestIdBytesMax = 128;

/// @brief Sets one attribute by its name.
/// @param attributes Attributes to change; unchanged on failure.
/// @param name Name without prefix, for example "max_age_ms". Unknown names are ignored.
/// @param value Text form; an empty value resets the attribute.
/// @return Whether the name is known, or ErrorKind::InvalidAttribute for a bad value.
[[nodiscard]] Result<bool> setAttribute(RequestAttributes &attributes, std::string_view name,
                                        std::string_view value);

/// @brief Text form of an attribute, as a session command shows it.
/// @return The text, or nothing for an unknown name.
[[nodiscard]] std::optional<std::string> formatAttribute(const RequestAttributes &attributes,
                                                         std::string_view name);

/// @brief Applies the attributes of one statement.
/// @param defaults Attributes of the session.
/// @param settings Attributes of the statement.
/// @return Defaults with the settings applied, or ErrorKind::InvalidAttribute.
[[nodiscard]] Result<RequestAttributes>
applyAttributes(const RequestAttributes &defaults, const std::vector<AttributeSetting> &settings);

} // namespace hyssoprock
