#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief A complete answer of an endpoint to one simple query.

namespace hyssoprock {

/// @brief Description of a column, as the endpoint sent it.
struct PgColumn
{
    std::string name{};             ///< Name.
    std::uint32_t tableOid = 0;     ///< Table, or 0.
    std::int16_t tableColumn = 0;   ///< Column of the table, or 0.
    std::uint32_t typeOid = 0;      ///< Data type.
    std::int16_t typeSize = 0;      ///< Size of the type; negative if it varies.
    std::int32_t typeModifier = -1; ///< Modifier of the type.

    [[nodiscard]] bool operator==(const PgColumn &) const = default;
};

/// @brief Value in text form; absent for NULL.
using PgValue = std::optional<std::string>;

/// @brief Error of a statement, as the endpoint stated it.
struct PgStatementError
{
    std::string severity{}; ///< For example ERROR.
    std::string state{};    ///< SQLSTATE.
    std::string message{};  ///< Primary message.
    std::string detail{};   ///< Detail; may be empty.

    [[nodiscard]] bool operator==(const PgStatementError &) const = default;
};

/// @brief Answer to one statement.
struct PgStatement
{
    bool emptyQuery = false;                  ///< The statement had no text.
    bool hasRows = false;                     ///< Whether a row description came.
    std::vector<PgColumn> columns{};          ///< Columns if hasRows.
    std::vector<std::vector<PgValue>> rows{}; ///< Rows, each as long as columns.
    std::string commandTag{};                 ///< For example "INSERT 0 1"; empty on an error.
    std::optional<PgStatementError> error{};  ///< Present if the statement failed.

    [[nodiscard]] bool operator==(const PgStatement &) const = default;
};

/// @brief Answer to a simple query, which may hold several statements.
struct PgAnswer
{
    std::vector<PgStatement> statements{}; ///< In order; an error is always the last.
    char transactionStatus = 'I';          ///< I idle, T in a transaction, E in a failed one.
    std::size_t bytes = 0;                 ///< Size of all values.

    [[nodiscard]] bool operator==(const PgAnswer &) const = default;
};

} // namespace hyssoprock
