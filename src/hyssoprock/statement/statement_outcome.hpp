#pragma once

#include <cstdint>

#include <hyssoprock/core/error_kind.hpp>

/// @file
/// @brief Kinds of answers to statements, and what they prove about a statement's effect.

namespace hyssoprock {

/// @brief What is known about the effect of a statement that was sent.
enum class StatementOutcome : std::uint8_t {
    Ran,     ///< It ran to completion; it may have failed or have been rolled back since.
    NotRun,  ///< It certainly did not run.
    Unknown, ///< It may have run.
};

/// @brief How an endpoint or this host answered a statement.
///
/// ErrorKind, in contrast, lists the errors that are reported to callers and operators, including
/// failures that concern no statement.
enum class AnswerKind : std::uint8_t {
    Success,
    Busy,               ///< Not run: no slot is free.
    UnknownPrepared,    ///< Not run: there is no prepared statement of this name.
    Lagging,            ///< Not run: the log has not reached the required position.
    ReadOnly,           ///< Not run: the endpoint is not the primary.
    Misrouted,          ///< Not run: another service or endpoint listens there.
    TooManyConnections, ///< Not run: the endpoint is at its connection limit.
    Aborted,            ///< The transaction was rolled back without any effect.
    Failed,             ///< It ran and failed.
    TimedOut,           ///< It may have run.
    Unknown,            ///< It may have run.
    NoDatabase,         ///< There is no route of this name.
    NotAuthorized,      ///< No team holds the caller's key.
    Malformed,          ///< The statement cannot be parsed, or is not allowed in this state.
    TooLarge,           ///< The message exceeds the size limit.
    Other,              ///< Any other error; it may have run.
};

/// @brief Outcome of a statement, as proven by the kind of its answer.
/// @return Unknown for an answer that proves nothing by itself. NoDatabase, NotAuthorized,
/// Malformed and TooLarge are among these: this host returns them before it sends anything, but an
/// endpoint's answer of this kind proves nothing about earlier statements in the same message.
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
    case AnswerKind::NotAuthorized:
    case AnswerKind::Malformed:
    case AnswerKind::TooLarge:
    case AnswerKind::Other:
        break;
    }
    return StatementOutcome::Unknown;
}

/// @brief Whether an answer proves that the statement did not run.
[[nodiscard]] constexpr bool provesNotRun(AnswerKind kind) noexcept
{
    return outcomeOf(kind) == StatementOutcome::NotRun;
}

/// @brief Whether an error guarantees to the caller that its statement had no effect, because it
/// did not run or was rolled back; see ErrorAnswer::notRun.
[[nodiscard]] inline bool guaranteesNotRun(ErrorKind kind) noexcept
{
    return describe(kind).notRun;
}

} // namespace hyssoprock
