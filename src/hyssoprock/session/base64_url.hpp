#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Base64 with the URL-safe alphabet and without padding (RFC 4648, section 5).

namespace hyssoprock::internal {

/// @brief Encodes bytes as text.
[[nodiscard]] std::string encodeBase64Url(std::string_view bytes);

/// @brief Decodes text.
/// @return The bytes; empty if the text is not a canonical encoding.
[[nodiscard]] std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace hyssoprock::internal
