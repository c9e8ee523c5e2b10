#pragma once

#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/statement/statement.hpp>

/// @file
/// @brief What a caller dialect makes of a caller's text.

namespace hyssoprock {

/// @brief Sets or shows an option of the session; answered by the proxy itself.
struct SessionCommand
{
    bool isAssignment = false; ///< Sets the option, or shows it.
    std::string name{};        ///< Name without the prefix, in lower case.
    std::string value{};       ///< Value to set.

    [[nodiscard]] bool operator==(const SessionCommand &) const = default;
};

/// @brief One attribute that a caller gives to its statement, not yet validated.
struct AttributeSetting
{
    std::string name{};  ///< Name, for example "max_age_ms".
    std::string value{}; ///< Text form.

    [[nodiscard]] bool operator==(const AttributeSetting &) const = default;
};

/// @brief What a statement could do besides its kind. A dialect that cannot tell errs on the side
/// of true.
struct StatementProperties
{
    bool mayCommit = true; ///< Could commit an open transaction.
    bool mixesTransactionControl =
        true;                     ///< Several statements, one of which controls transactions.
    bool usesSavepoints = true;   ///< Could undo a part of its transaction.
    bool altersConnection = true; ///< Could change the connection's state beyond its transaction,
                                  ///< so that the connection must not serve another caller.
    /// Error with which it is refused outside a transaction, because its effect would be lost.
    std::optional<Error> errorOutsideTransaction{};
};

/// @brief Statement of a caller, as its dialect understands it.
struct CallerStatement
{
    /// Text and kind. Where the text does not tell a read from a write, the kind is Begin or Write,
    /// and the caller's attributes may make it BeginReadOnly or Read.
    Statement statement{};
    StatementProperties properties{};           ///< What else it could do.
    std::vector<AttributeSetting> attributes{}; ///< Given with the statement, in order.
    std::optional<SessionCommand> command{};    ///< Set if no endpoint is involved.
};

} // namespace hyssoprock
