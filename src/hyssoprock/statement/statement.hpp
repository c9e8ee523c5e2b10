#pragma once

#include <string>

#include <hyssoprock/statement/statement_kind.hpp>

/// @file
/// @brief Statement of a caller, free of any wire format.

namespace hyssoprock {

/// @brief One statement of a caller.
struct Statement
{
    std::string id; ///< Identifier chosen by the caller; empty if its protocol has none.
    StatementKind kind = StatementKind::Malformed; ///< What it does.
    std::string text;                              ///< The statement as received.
    std::string name;                              ///< Variable or prepared statement.
    std::string argument; ///< Value of a variable, or what follows the name of Execute.
    std::string shape;    ///< Shape of a prepared statement.
    bool writes = false;  ///< Prepare: the prepared statement writes.

    [[nodiscard]] bool operator==(const Statement &) const = default;
};

} // namespace hyssoprock
