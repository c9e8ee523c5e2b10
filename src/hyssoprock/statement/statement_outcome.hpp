#pragma once

#include <cstdint>

#include <hyssoprock/core/error_kind.hpp>

/// @file
/// @brief How a statement was answered, and what that proves about its effect.

namespace hyssoprock {

/// @brief What is known about the effect of a statement that was sent.
///
/// Two enumerations of the request module look alike and differ: FailureConsequence is a decision
/// that also depends on whether the statement may be repeated, and AckOutcome says whether a
/// majority holds a position.
enum class StatementOutcome : std::uint8_t {
    Ran,     ///< It ran to its end; it may have failed, or have been rolled back since.
    NotRun,  ///< Nothing ran, for certain.
    Unknown, ///< It may or may not have run.
};

/// @brief How an endpoint or this host answered a statement.
///
/// ErrorKind is a separate list: it names what a caller or operator is told, including failures
/// that concern no statement.
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

/// @brief What an answer proves.
/// @param kind How the statement was answered.
/// @return Unknown for an answer that proves nothing by itself. NoDatabase, Malformed and TooLarge
/// are among these: this host gives them before it sends anything, but an endpoint's answer of this
/// kind says nothing about the statements before it in the same message.
[[nodiscard]] constexpr StatementOutcome outcomeOf(AnswerKind kind) noexcept
{
    switch (kind) {
    case AnswerKind::Success:
    case AnswerKind::Aborted:
    case AnswerKind::Failed:
        return StatementOutcome::Ran;
    case AnswerKind::Busy:
    case AnswerKind::UnknownPrepared:
    case AnswerKind::Lagging:
    case AnswerKind::ReadOnly:
    case AnswerKind::Misrouted:
    case AnswerKind::TooManyConnections:
        return StatementOutcome::NotRun;
    case AnswerKind::TimedOut:
    case AnswerKind::Unknown:
    case AnswerKind::NoDatabase:
    case AnswerKind::Malformed:
    case AnswerKind::TooLarge:
    case AnswerKind::Other:
        break;
    }
    return StatementOutcome::Unknown;
}

/// @brief Whether an answer proves that the statement had no effect.
/// @param kind How it was answered.
/// @return True if nothing ran.
[[nodiscard]] constexpr bool provesNotRun(AnswerKind kind) noexcept
{
    return outcomeOf(kind) == StatementOutcome::NotRun;
}

/// @brief Whether a caller that gets an error may rely on its statement having had no effect.
/// @param kind Error that the caller is told; the column `notRun` of its table decides.
/// @return True if nothing ran, or all of it was rolled back.
[[nodiscard]] inline bool guaranteesNotRun(ErrorKind kind) noexcept
{
    return describe(kind).notRun;
}

} // namespace hyssoprock
