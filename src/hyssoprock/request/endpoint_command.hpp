#pragma once

#include <optional>
#include <string>
#include <variant>

#include <hyssoprock/statement/statement.hpp>

/// @file
/// @brief Commands that a session machine sends to an endpoint.

namespace hyssoprock {

/// @brief Runs a statement of the caller, together with its settings and request id.
///
/// Settings and transaction control are sent in the same message as the statement, which saves a
/// round trip and keeps them in the same transaction. The pooled deployment sends them as separate
/// messages and therefore has its own type, EndpointCommand.
struct ForwardStatement
{
    Statement statement{};                       ///< Statement; its text is sent unchanged.
    std::optional<std::string> schemaVersions{}; ///< Version filter to set on the connection first.
    std::string requestId{};        ///< Id to record in its transaction; empty for none.
    bool wrapInTransaction = false; ///< Run it and the id record in a transaction of its own.
    bool atomic = false;            ///< Nothing is committed before the last statement.
};

/// @brief Checks whether a request id has been recorded.
struct LookUpRequestId
{
    std::string requestId{}; ///< Request id.
};

/// @brief A command to an endpoint.
using RequestCommand = std::variant<ForwardStatement, LookUpRequestId>;

} // namespace hyssoprock
