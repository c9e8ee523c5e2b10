#pragma once

#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/statement/statement.hpp>

/// @file
/// @brief Result of translating a caller's text.

namespace hyssoprock {

/// @brief Command that sets or shows a session option; answered by the proxy itself.
struct SessionCommand
{
    bool isAssignment = false; ///< Sets the option if true, shows it otherwise.
    std::string name{};        ///< Name of the option without the prefix, in lower case.
    std::string value{};       ///< Value to set.

    [[nodiscard]] bool operator==(const SessionCommand &) const = default;
};

/// @brief Attribute of a statement as set by its caller, not validated yet.
struct AttributeSetting
{
    std::string name{};  ///< Name, for example "max_age_ms".
    std::string value{}; ///< Text form.

    [[nodiscard]] bool operator==(const AttributeSetting &) const = default;
};

/// @brief Possible effects of a statement beyond its kind. A dialect that cannot rule out an effect
/// reports true.
struct StatementProperties
{
    bool mayCommit = true; ///< May commit an open transaction.
    bool mixesTransactionControl =
        true; ///< Contains several statements, at least one of which controls transactions.
    bool usesSavepoints = true;   ///< May roll back a part of its transaction.
    bool altersConnection = true; ///< May change state of the connection that outlives the
                                  ///< transaction, so the connection must not be reused for
                                  ///< another caller.
    /// Error for a statement that has no effect outside a transaction.
    std::optional<Error> errorOutsideTransaction{};
};

/// @brief Statement of a caller as parsed by its dialect.
struct CallerStatement
{
    /// Text and kind. If the text does not determine whether it reads or writes, the kind is Begin
    /// or Write, and the caller's attributes may change it to BeginReadOnly or Read.
    Statement statement{};
    StatementProperties properties{};           ///< Its other possible effects.
    std::vector<AttributeSetting> attributes{}; ///< Set with the statement, in order.
    std::optional<SessionCommand> command{};    ///< Set if the proxy answers it itself.
};

} // namespace hyssoprock
