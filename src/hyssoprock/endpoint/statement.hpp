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
/// @brief Statements that the stand-in understands, and their parser.

namespace hyssoprock::endpoint {

/// @brief Refers to parameter $1, $2 and so on of a prepared statement, counted from 0.
struct ParameterReference
{
    std::size_t number = 0; ///< 0 for $1.

    [[nodiscard]] bool operator==(const ParameterReference &) const = default;
};

/// @brief NULL.
struct NullLiteral
{
    [[nodiscard]] bool operator==(const NullLiteral &) const = default;
};

/// @brief A constant or a parameter. All values are kept in text form.
using Operand = std::variant<NullLiteral, std::string, ParameterReference>;

/// @brief column = operand.
struct Condition
{
    std::string column; ///< Column.
    Operand operand;    ///< Value that it is compared with; NULL equals nothing.

    [[nodiscard]] bool operator==(const Condition &) const = default;
};

/// @brief column = operand, or column = column + operand.
struct Assignment
{
    std::string column;  ///< Column that changes.
    Operand operand;     ///< Value or summand.
    bool add = false;    ///< The operand, an integer, is added to the present value.
    bool negate = false; ///< With add: it is subtracted.

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
    std::string name;  ///< Parameter in lower case.
    std::string value; ///< Value.

    [[nodiscard]] bool operator==(const SetStatement &) const = default;
};

struct ShowStatement
{
    std::string name; ///< Parameter in lower case.

    [[nodiscard]] bool operator==(const ShowStatement &) const = default;
};

struct InsertStatement
{
    std::string table;                      ///< Table.
    std::vector<std::string> columns;       ///< Columns.
    std::vector<std::vector<Operand>> rows; ///< One value for each column.

    [[nodiscard]] bool operator==(const InsertStatement &) const = default;
};

struct SelectStatement
{
    std::string table;                 ///< Table.
    std::vector<std::string> columns;  ///< Columns; none for all.
    bool count = false;                ///< count(*) instead of rows.
    std::vector<Condition> conditions; ///< All must hold.

    [[nodiscard]] bool operator==(const SelectStatement &) const = default;
};

/// @brief SELECT of a constant, as monitoring tools send it.
struct SelectValueStatement
{
    Operand value; ///< The value.

    [[nodiscard]] bool operator==(const SelectValueStatement &) const = default;
};

struct UpdateStatement
{
    std::string table;                   ///< Table.
    std::vector<Assignment> assignments; ///< Changes.
    std::vector<Condition> conditions;   ///< All must hold.

    [[nodiscard]] bool operator==(const UpdateStatement &) const = default;
};

struct DeleteStatement
{
    std::string table;                 ///< Table.
    std::vector<Condition> conditions; ///< All must hold.

    [[nodiscard]] bool operator==(const DeleteStatement &) const = default;
};

/// @brief SELECT function(arguments).
struct CallStatement
{
    std::string function;           ///< Name in lower case.
    std::vector<Operand> arguments; ///< Arguments.

    [[nodiscard]] bool operator==(const CallStatement &) const = default;
};

/// @brief Any statement.
using Statement =
    std::variant<BeginStatement, CommitStatement, RollbackStatement, SetStatement, ShowStatement,
                 InsertStatement, SelectStatement, SelectValueStatement, UpdateStatement,
                 DeleteStatement, CallStatement>;

/// @brief Parses statements separated by semicolons.
/// @param text Any text; comments are passed over.
/// @return The statements, none for an empty text, or ProtocolViolation with what was unexpected.
[[nodiscard]] Result<std::vector<Statement>> parseStatements(std::string_view text);

/// @brief Number of parameters that a statement refers to.
/// @return The highest $n.
[[nodiscard]] std::size_t parameterCount(const Statement &statement);

} // namespace hyssoprock::endpoint
