#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Statements that the stand-in supports, and their parser.

namespace hyssoprock::endpoint {

/// @brief Reference to a parameter $1, $2 and so on of a prepared statement.
struct ParameterReference
{
    std::size_t number = 0; ///< Zero-based: 0 for $1.

    [[nodiscard]] bool operator==(const ParameterReference &) const = default;
};

/// @brief The constant NULL.
struct NullLiteral
{
    [[nodiscard]] bool operator==(const NullLiteral &) const = default;
};

/// @brief A constant or a parameter. All values are in text form.
using Operand = std::variant<NullLiteral, std::string, ParameterReference>;

/// @brief Condition of the form column = operand.
struct Condition
{
    std::string column;
    Operand operand; ///< Value to compare with; NULL matches no row.

    [[nodiscard]] bool operator==(const Condition &) const = default;
};

/// @brief Assignment of the form column = operand or column = column + operand.
struct Assignment
{
    std::string column;  ///< Assigned column.
    Operand operand;     ///< Value or summand.
    bool add = false;    ///< Whether to add the integer operand to the current value.
    bool negate = false; ///< With add: whether to subtract instead.

    [[nodiscard]] bool operator==(const Assignment &) const = default;
};

struct BeginStatement
{
    [[nodiscard]] bool operator==(const BeginStatement &) const = default;
};

struct CommitStatement
{
    [[nodiscard]] bool operator==(const CommitStatement &) const = default;
};

struct RollbackStatement
{
    [[nodiscard]] bool operator==(const RollbackStatement &) const = default;
};

struct SetStatement
{
    std::string name; ///< Parameter in lower case.
    std::string value;

    [[nodiscard]] bool operator==(const SetStatement &) const = default;
};

struct ShowStatement
{
    std::string name; ///< Parameter in lower case.

    [[nodiscard]] bool operator==(const ShowStatement &) const = default;
};

struct InsertStatement
{
    std::string table;
    std::vector<std::string> columns;
    std::vector<std::vector<Operand>> rows; ///< One value for each column.

    [[nodiscard]] bool operator==(const InsertStatement &) const = default;
};

struct SelectStatement
{
    std::string table;
    std::vector<std::string> columns;  ///< Columns; empty for all.
    bool count = false;                ///< Whether count(*) is selected.
    std::vector<Condition> conditions; ///< All must hold.

    [[nodiscard]] bool operator==(const SelectStatement &) const = default;
};

/// @brief SELECT of a constant, as sent by monitoring tools.
struct SelectValueStatement
{
    Operand value;

    [[nodiscard]] bool operator==(const SelectValueStatement &) const = default;
};

struct UpdateStatement
{
    std::string table;
    std::vector<Assignment> assignments;
    std::vector<Condition> conditions; ///< All must hold.

    [[nodiscard]] bool operator==(const UpdateStatement &) const = default;
};

struct DeleteStatement
{
    std::string table;
    std::vector<Condition> conditions; ///< All must hold.

    [[nodiscard]] bool operator==(const DeleteStatement &) const = default;
};

/// @brief SELECT function(arguments).
struct CallStatement
{
    std::string function; ///< Name in lower case.
    std::vector<Operand> arguments;

    [[nodiscard]] bool operator==(const CallStatement &) const = default;
};

/// @brief Any statement.
using Statement =
    std::variant<BeginStatement, CommitStatement, RollbackStatement, SetStatement, ShowStatement,
                 InsertStatement, SelectStatement, SelectValueStatement, UpdateStatement,
                 DeleteStatement, CallStatement>;

/// @brief Parses statements separated by semicolons.
/// @param text Any text; comments are skipped.
/// @return The statements, none for an empty text, or ProtocolViolation with the unexpected token.
[[nodiscard]] Result<std::vector<Statement>> parseStatements(std::string_view text);

/// @brief Number of parameters that a statement needs, which is the highest n of all $n.
[[nodiscard]] std::size_t parameterCount(const Statement &statement);

} // namespace hyssoprock::endpoint
