#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>

/// @file
/// @brief Statements of callers and answers of endpoints, free of any wire format.

namespace hyssoprock {

/// @brief What a statement does.
enum class StatementKind : std::uint8_t {
    Begin,         ///< Opens a transaction that may write.
    BeginReadOnly, ///< Opens a transaction that only reads.
    Commit,
    Rollback,
    Read,
    Write,
    SetVariable,
    Prepare,
    Execute,
    Deallocate,
    Malformed, ///< Cannot be understood; not run anywhere.
};

/// @brief One statement of a caller.
struct Statement
{
    std::string id;                                ///< Identifier chosen by the caller.
    StatementKind kind = StatementKind::Malformed; ///< What it does.
    std::string text;                              ///< The statement as received.
    std::string name;                              ///< Variable or prepared statement.
    std::string argument; ///< Value of a variable, or what follows the name of Execute.
    std::string shape;    ///< Shape of a prepared statement.
    bool writes = false;  ///< Prepare: the prepared statement writes.

    [[nodiscard]] bool operator==(const Statement &) const = default;
};

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

/// @brief Transaction state of a connection.
enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    Failed, ///< Only its end is accepted, which rolls back.
};

/// @brief How an endpoint or this host answered a statement.
enum class AnswerKind : std::uint8_t {
    Success,
    Busy,               ///< Nothing ran: no slot.
    UnknownPrepared,    ///< Nothing ran: no prepared statement of this name.
    Lagging,            ///< Nothing ran: the log lacks the demanded position.
    ReadOnly,           ///< Nothing ran: the endpoint does not lead.
    Misrouted,          ///< Nothing ran: another service or endpoint listens there.
    TooManyConnections, ///< Nothing ran: the endpoint has no connection to spare.
    Aborted,            ///< The transaction was rolled back; nothing is kept.
    Failed,             ///< It ran and failed.
    TimedOut,           ///< It may have run.
    Unknown,            ///< It may have run.
    NoDatabase,         ///< No route of this name.
    Malformed,          ///< The statement is not understood, or not allowed in this state.
    TooLarge,           ///< The message is over the size limit.
    Other,              ///< An error that is not on this list; it may have run.
};

/// @brief Whether an answer proves that the statement had no effect.
/// @param kind How it was answered.
/// @return True if nothing ran.
[[nodiscard]] constexpr bool provesNotRun(AnswerKind kind) noexcept
{
    return kind >= AnswerKind::Busy && kind <= AnswerKind::TooManyConnections;
}

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
