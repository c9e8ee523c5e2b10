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
/// @brief Commands to endpoints and their answers, free of any wire format. The types that both
/// deployments use are in the statement module.

namespace hyssoprock {

/// @brief What an endpoint is asked to run on one connection.
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
    Pause,       ///< Stop receiving as a replica, under `term`; answered as Status.
    Resume,      ///< Receive again; answered as Status.
    StepDown,    ///< Become a replica if primary of a term below `term`; answered as Status.
};

/// @brief A command for an endpoint.
struct EndpointCommand
{
    EndpointCommandKind kind = EndpointCommandKind::Forward; ///< What to run.
    std::string id;       ///< Identifier of the caller's statement; empty for commands of our own.
    std::string text;     ///< Forward: the caller's text.
    std::string name;     ///< Variable or prepared statement.
    std::string argument; ///< Value, or arguments of Execute.
    std::string shape;    ///< Prepare: the shape.
    bool writes = false;  ///< Prepare: the prepared statement writes.
    std::optional<LogPosition> after; ///< Least position that the endpoint's log must hold.
    std::uint64_t term = 0;           ///< Pause, StepDown: the term.

    [[nodiscard]] bool operator==(const EndpointCommand &) const = default;
};

/// @brief Answer of an endpoint to a command, or to a caller's statement.
struct StatementAnswer
{
    AnswerKind kind = AnswerKind::Success;           ///< How it ended.
    std::vector<std::string> rows;                   ///< Rows as the endpoint sent them.
    std::string signature;                           ///< Endpoint's signature; empty for our own.
    std::string code;                                ///< Error code as the endpoint sent it.
    std::string text;                                ///< Text of an error.
    TransactionState state = TransactionState::Idle; ///< State of the connection afterwards.
    std::optional<LogPosition> position;             ///< End of the endpoint's log, if it said so.

    [[nodiscard]] bool operator==(const StatementAnswer &) const = default;
};

} // namespace hyssoprock
