#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/session/session_floor.hpp>

/// @file
/// @brief Signed tokens that carry a session's floor to any entry host.

namespace hyssoprock {

/// @brief Signs and verifies session tokens.
///
/// A token is base64url(version byte | body | HMAC-SHA256 of version and body). The body is a
/// cereal portable binary list of group, position and the flag FloorEntry::established.
class TokenCodec
{
public:
    static constexpr std::size_t keyBytesMin = 16; ///< Shorter keys are too easy to guess.
    static constexpr std::size_t tokenBytesMax =
        4096; ///< A token must fit into a statement and a startup packet.

    /// @param key Secret shared by all entry hosts; at least keyBytesMin bytes, or the process is
    /// terminated.
    explicit TokenCodec(std::string key);

    /// @brief Encodes and signs a floor.
    /// @param floor Any floor. Groups that exceed the size limit are omitted, starting with the
    /// last by name; reads of such a group use the primary until its floor is established again.
    /// @return The token, which has only base64url characters.
    [[nodiscard]] std::string encode(const SessionFloor &floor) const;

    /// @brief Verifies and decodes a token.
    /// @param token Text from a caller.
    /// @return The floor, or ErrorKind::InvalidToken if it is malformed, truncated, too long, of
    /// another version or signed with another key.
    [[nodiscard]] Result<SessionFloor> decode(std::string_view token) const;

private:
    std::string key_;
};

} // namespace hyssoprock
