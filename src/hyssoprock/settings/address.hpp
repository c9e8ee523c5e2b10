#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Text form of addresses in settings and messages.

namespace hyssoprock {

/// @brief IP number and port.
struct SocketAddress
{
    std::string ip{};       ///< IPv4 or IPv6 number; names are not resolved.
    std::uint16_t port = 0; ///< Port; 0 lets the system choose one when listening.

    [[nodiscard]] bool operator==(const SocketAddress &) const = default;
};

/// @brief Name and address of a host.
struct NamedAddress
{
    std::string name{};      ///< Name of the host.
    SocketAddress address{}; ///< Its address.

    [[nodiscard]] bool operator==(const NamedAddress &) const = default;
};

/// @brief Parses "127.0.0.1:5432" or "[::1]:5432".
/// @param text The text.
/// @return The address, or InvalidValue.
[[nodiscard]] Result<SocketAddress> parseAddress(std::string_view text);

/// @brief Parses "name=127.0.0.1:5432".
/// @param text The text.
/// @return Name and address, or InvalidValue.
[[nodiscard]] Result<NamedAddress> parseNamedAddress(std::string_view text);

/// @brief Formats an address for parseAddress().
/// @param address Any address.
/// @return IP number and port.
[[nodiscard]] std::string toString(const SocketAddress &address);

} // namespace hyssoprock
