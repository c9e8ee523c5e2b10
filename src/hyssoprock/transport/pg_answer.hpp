#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Results of a simple query.

namespace hyssoprock {

/// @brief Column of a row description.
struct PgColumn
{
    std::string name{};             ///< Name.
    std::uint32_t tableOid = 0;     ///< OID of the table; 0 if none.
    std::int16_t tableColumn = 0;   ///< Column number in the table; 0 if none.
    std::uint32_t typeOid = 0;      ///< OID of the data type.
    std::int16_t typeSize = 0;      ///< Size of the type in bytes; negative if variable.
    std::int32_t typeModifier = -1; ///< Type modifier; -1 if none.

    [[nodiscard]] bool operator==(const PgColumn &) const = default;
};

/// @brief Value in text format; std::nullopt for NULL.
using PgValue = std::optional<std::string>;

/// @brief Error response of the endpoint.
struct PgStatementError
{
    std::string severity{}; ///< For example ERROR.
    std::string state{};    ///< SQLSTATE.
    std::string message{};  ///< Primary message.
    std::string detail{};   ///< Detail; empty if none was sent.

    [[nodiscard]] bool operator==(const PgStatementError &) const = default;
};

/// @brief Result of one statement.
struct PgStatementResult
{
    bool emptyQuery = false;                  ///< The statement had no text.
    bool hasRows = false;                     ///< Whether a row description was received.
    std::vector<PgColumn> columns{};          ///< Columns if hasRows.
    std::vector<std::vector<PgValue>> rows{}; ///< Rows, each as long as columns.
    std::string commandTag{};                 ///< For example "INSERT 0 1"; empty on an error.
    std::optional<PgStatementError> error{};  ///< Present if the statement failed.

    [[nodiscard]] bool operator==(const PgStatementResult &) const = default;
};

/// @brief Results of a simple query, which may hold several statements.
struct PgAnswer
{
    std::vector<PgStatementResult>
        statements{};             ///< In order of execution; only the last may be an error.
    char transactionStatus = 'I'; ///< As in ReadyForQuery: I, T or E.
    std::size_t bytes = 0;        ///< Total size of all values.

    [[nodiscard]] bool operator==(const PgAnswer &) const = default;
};

} // namespace hyssoprock
