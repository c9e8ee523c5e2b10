#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Base64 with the URL-safe alphabet and without padding (RFC 4648, section 5).

namespace hyssoprock::internal {

/// @brief Encodes bytes.
[[nodiscard]] std::string encodeBase64Url(std::string_view bytes);

/// @brief Decodes text.
/// @return The bytes, or nothing if the text is not the one encoding of any bytes.
[[nodiscard]] std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace hyssoprock::internal
