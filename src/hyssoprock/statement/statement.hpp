#pragma once

#include <string>

#include <hyssoprock/statement/statement_kind.hpp>

/// @file
/// @brief Statement of a caller, independent of the wire format.

namespace hyssoprock {

/// @brief One statement of a caller.
struct Statement
{
    std::string id; ///< Identifier chosen by the caller; empty if its protocol has none.
    StatementKind kind = StatementKind::Malformed; ///< Kind.
    std::string text;                              ///< Text as received.
    std::string name;                              ///< Name of the variable or prepared statement.
    std::string argument; ///< Value of the variable, or text after the name in Execute.
    std::string shape;    ///< Shape of a prepared statement.
    bool writes = false;  ///< Prepare: the prepared statement writes.

    [[nodiscard]] bool operator==(const Statement &) const = default;
};

} // namespace hyssoprock
