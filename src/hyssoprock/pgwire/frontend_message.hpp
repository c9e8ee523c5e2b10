#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// @brief Frontend messages, PostgreSQL frontend/backend protocol version 3.

namespace hyssoprock::pgwire {

/// @brief Protocol version 3.0 as encoded in a StartupMessage.
inline constexpr std::uint32_t protocolVersion3 = 196608;

/// @brief A startup parameter, for example user or database.
struct StartupParameter
{
    std::string name;  ///< Name.
    std::string value; ///< Value.

    [[nodiscard]] bool operator==(const StartupParameter &) const = default;
};

/// @brief First message of a session.
struct StartupMessage
{
    std::uint32_t version = protocolVersion3; ///< Major version in the upper 16 bits, always 3.
    std::vector<StartupParameter> parameters; ///< In the order of the message.

    /// @brief Looks up a parameter.
    /// @return The last value with the name, or an empty string.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;

    [[nodiscard]] bool operator==(const StartupMessage &) const = default;
};

/// @brief Requests TLS before the startup message; answered with 'N'.
struct SslRequest
{
    [[nodiscard]] bool operator==(const SslRequest &) const = default;
};

/// @brief Requests GSSAPI encryption before the startup message; answered with 'N'.
struct GssEncRequest
{
    [[nodiscard]] bool operator==(const GssEncRequest &) const = default;
};

/// @brief Cancels the running statement of another connection; the connection is closed after it.
struct CancelRequest
{
    std::uint32_t processId = 0; ///< From BackendKeyData of the other connection.
    std::uint32_t secretKey = 0; ///< From BackendKeyData of the other connection.

    [[nodiscard]] bool operator==(const CancelRequest &) const = default;
};

/// @brief Simple query.
struct Query
{
    std::string text; ///< One or more statements.

    [[nodiscard]] bool operator==(const Query &) const = default;
};

/// @brief Prepares a statement.
struct Parse
{
    std::string statement;                     ///< Name; empty for the unnamed object.
    std::string text;                          ///< One statement.
    std::vector<std::uint32_t> parameterTypes; ///< Type oids; 0 if unspecified.

    [[nodiscard]] bool operator==(const Parse &) const = default;
};

/// @brief Creates a portal from a prepared statement.
struct Bind
{
    std::string portal;    ///< Name; empty for the unnamed object.
    std::string statement; ///< Prepared statement.
    std::vector<std::uint16_t>
        parameterFormats; ///< 0 for text, 1 for binary; none, one, or one each.
    std::vector<std::optional<std::string>> values; ///< Parameters; std::nullopt is NULL.
    std::vector<std::uint16_t> resultFormats; ///< 0 for text, 1 for binary; none, one, or one each.

    [[nodiscard]] bool operator==(const Bind &) const = default;
};

/// @brief Kind of object that Describe and Close refer to.
enum class ObjectKind : std::uint8_t {
    Statement, ///< 'S'
    Portal,    ///< 'P'
};

/// @brief Requests the column description of a statement or portal.
struct Describe
{
    ObjectKind kind = ObjectKind::Statement; ///< Statement or portal.
    std::string name;                        ///< Its name.

    [[nodiscard]] bool operator==(const Describe &) const = default;
};

/// @brief Executes a portal.
struct Execute
{
    std::string portal;        ///< Name.
    std::uint32_t maxRows = 0; ///< 0 for all rows.

    [[nodiscard]] bool operator==(const Execute &) const = default;
};

/// @brief Closes a statement or portal.
struct Close
{
    ObjectKind kind = ObjectKind::Statement; ///< Statement or portal.
    std::string name;                        ///< Its name.

    [[nodiscard]] bool operator==(const Close &) const = default;
};

/// @brief Ends a sequence of extended query messages; answered with ReadyForQuery.
struct Sync
{
    [[nodiscard]] bool operator==(const Sync &) const = default;
};

/// @brief Requests all pending answers.
struct Flush
{
    [[nodiscard]] bool operator==(const Flush &) const = default;
};

/// @brief Ends the session.
struct Terminate
{
    [[nodiscard]] bool operator==(const Terminate &) const = default;
};

/// @brief A known but unsupported message: password, COPY and function call messages.
struct UnsupportedMessage
{
    char type = 0; ///< Type byte.

    [[nodiscard]] bool operator==(const UnsupportedMessage &) const = default;
};

/// @brief Any frontend message.
using FrontendMessage =
    std::variant<StartupMessage, SslRequest, GssEncRequest, CancelRequest, Query, Parse, Bind,
                 Describe, Execute, Close, Sync, Flush, Terminate, UnsupportedMessage>;

} // namespace hyssoprock::pgwire
