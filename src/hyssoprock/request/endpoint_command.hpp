#pragma once

#include <optional>
#include <string>
#include <variant>

#include <hyssoprock/statement/statement.hpp>

/// @file
/// @brief What a session machine asks of an endpoint.

namespace hyssoprock {

/// @brief Run a statement of the caller, in one message with what belongs to it.
///
/// The pooled deployment has a type of its own, EndpointCommand: it sends its settings and the
/// begin of a transaction as messages of their own, while here they share one message with the
/// statement, so that they cost no round trip and stand in the same transaction.
struct ForwardStatement
{
    Statement statement{};                       ///< Statement; its text is not changed.
    std::optional<std::string> schemaVersions{}; ///< To be set on the connection before it.
    std::string requestId{};        ///< To be recorded in its transaction; empty for none.
    bool wrapInTransaction = false; ///< Run it, with the record, in a transaction of its own.
    bool atomic = false;            ///< It commits nothing before its end.
};

/// @brief Look a request id up.
struct LookUpRequestId
{
    std::string requestId{}; ///< The id.
};

/// @brief A command to an endpoint.
using RequestCommand = std::variant<ForwardStatement, LookUpRequestId>;

} // namespace hyssoprock
