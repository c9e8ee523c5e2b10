#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/statement/statement.hpp>
#include <hyssoprock/statement/statement_outcome.hpp>
#include <hyssoprock/statement/transaction_state.hpp>

/// @file
/// @brief Commands to endpoints and their answers, independent of the wire format. Types that both
/// kinds of deployment use are in the statement module.

namespace hyssoprock {

/// @brief Kind of a command.
enum class EndpointCommandKind : std::uint8_t {
    Forward,       ///< Run `text` of a caller with its identifier.
    Execute,       ///< Run prepared statement `name` with `argument`, with the caller's identifier.
    Begin,         ///< Open a transaction that may write.
    BeginReadOnly, ///< Open a transaction that only reads.
    Rollback,
    SetVariable, ///< Set variable `name` to `argument`.
    Prepare,     ///< Prepare `name` with `shape`.
    Reset,       ///< Clear variables and prepared statements.
    Status,      ///< Report role, positions and load.
    Pause,       ///< Stop replication on a replica, under `term`; answered as Status.
    Resume,      ///< Resume replication; answered as Status.
    StepDown,    ///< Become a replica if primary of a term below `term`; answered as Status.
};

/// @brief Command to an endpoint on one connection.
struct EndpointCommand
{
    EndpointCommandKind kind = EndpointCommandKind::Forward; ///< Selects the members that apply.
    std::string id;   ///< Identifier of the caller's statement; empty for the host's own commands.
    std::string text; ///< Forward: the caller's text.
    std::string name; ///< Variable or prepared statement.
    std::string argument;             ///< Value, or arguments of Execute.
    std::string shape;                ///< Prepare: the shape.
    bool writes = false;              ///< Prepare: the prepared statement writes.
    std::optional<LogPosition> after; ///< Position that the endpoint's log must have reached.
    std::uint64_t term = 0;           ///< Pause, StepDown: the term.

    [[nodiscard]] bool operator==(const EndpointCommand &) const = default;
};

/// @brief Answer of an endpoint to a command, or to a caller's statement.
struct StatementAnswer
{
    AnswerKind kind = AnswerKind::Success; ///< Outcome.
    std::vector<std::string> rows;         ///< Rows as the endpoint sent them.
    std::string signature;                 ///< Endpoint's signature; empty if the host answered.
    std::string code;                      ///< Error code as the endpoint sent it.
    std::string text;                      ///< Error message.
    TransactionState state = TransactionState::Idle; ///< State of the connection afterwards.
    std::optional<LogPosition> position;             ///< End of the endpoint's log, if reported.

    [[nodiscard]] bool operator==(const StatementAnswer &) const = default;
};

} // namespace hyssoprock
