#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/session/session_floor.hpp>

/// @file
/// @brief Session floors as signed tokens that a caller may present at any entry host.

namespace hyssoprock {

/// @brief Signs and verifies session tokens.
///
/// A token is base64url(version byte | body | HMAC-SHA256 of version and body). The body is a
/// cereal portable binary list of group, position and the known flag.
class TokenCodec
{
public:
    static constexpr std::size_t keyBytesMin = 16; ///< Shorter keys can be guessed.
    static constexpr std::size_t tokenBytesMax =
        4096; ///< A token must fit into a statement and a startup packet.

    /// @brief Makes a codec.
    /// @param key Secret that all entry hosts share; at least keyBytesMin bytes (checked).
    explicit TokenCodec(std::string key);

    /// @brief Signs a floor.
    /// @param floor Any floor. Groups that don't fit into the size limit are left out, last name
    /// first; reads of such a group use the primary until its floor is established again.
    /// @return The token, in base64url characters only.
    [[nodiscard]] std::string encode(const SessionFloor &floor) const;

    /// @brief Verifies a token.
    /// @param token Text from a caller.
    /// @return The floor, or ErrorKind::InvalidToken if it is malformed, truncated, too long, of
    /// another version or signed with another key.
    [[nodiscard]] Result<SessionFloor> decode(std::string_view token) const;

private:
    std::string key_;
};

} // namespace hyssoprock
