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
/// @brief Attributes that a caller sets for a request.

namespace hyssoprock {

/// @brief Class of a request.
enum class RequestClass : std::uint8_t {
    Write, ///< May change data; the default.
    Read,  ///< Does not change data and may be repeated.
};

/// @brief Attributes of one request. The defaults are the safest values.
struct RequestAttributes
{
    RequestClass requestClass = RequestClass::Write; ///< `class`.
    std::string kind{};                              ///< `kind`: record kind.
    bool repeatable = false;                         ///< `repeatable`: it may run more than once.
    std::optional<Duration> maxAge{};         ///< `max_age_ms`: lowers the allowance of the rule.
    std::string requestId{};                  ///< `request_id`: for resolving an unknown outcome.
    std::vector<std::uint32_t> understands{}; ///< `understands`: schema versions, ascending.
    std::optional<std::uint32_t> writesVersion{}; ///< `writes_version`: schema version written.

    [[nodiscard]] bool operator==(const RequestAttributes &) const = default;
};

/// @brief Longest request id, in bytes.
inline constexpr std::size_t requestIdBytesMax = 128;

/// @brief Sets an attribute by its name.
/// @param attributes Attributes to change; unchanged on failure.
/// @param name Name without prefix, for example "max_age_ms". Unknown names are ignored.
/// @param value Text form; an empty value resets the attribute to its default.
/// @return Whether the name is known, or ErrorKind::InvalidAttribute for an invalid value.
[[nodiscard]] Result<bool> setAttribute(RequestAttributes &attributes, std::string_view name,
                                        std::string_view value);

/// @brief Text form of an attribute, as shown by a session command; empty for an unknown name.
[[nodiscard]] std::optional<std::string> formatAttribute(const RequestAttributes &attributes,
                                                         std::string_view name);

/// @brief Applies the attributes of a statement to those of its session.
/// @return The resulting attributes, or ErrorKind::InvalidAttribute.
[[nodiscard]] Result<RequestAttributes>
applyAttributes(const RequestAttributes &defaults, const std::vector<AttributeSetting> &settings);

} // namespace hyssoprock
