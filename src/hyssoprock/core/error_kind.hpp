#pragma once

#include <cstdint>
#include <string_view>

/// @file
/// @brief Error kinds and how each one is reported.

namespace hyssoprock {

/// @brief Every way in which a request, a change or a message can fail.
enum class ErrorKind : std::uint8_t {
    None,                 ///< Success.
    QueueFull,            ///< Not run: the queue is full.
    DeadlineExceeded,     ///< Not run: no connection within the deadline.
    NoPrimary,            ///< Not run: the group has no usable primary.
    NoLease,              ///< Not run: this host has no valid lease.
    AgeNotProven,         ///< Not run: no endpoint is known to have recent enough data.
    HostLeaving,          ///< Not run: this entry host is shutting down.
    VersionNotUnderstood, ///< Not run: no schema version that the caller understands is complete.
    VersionNotWritable,   ///< Not run: the rule does not allow writes of this schema version.
    ReadOnlyEndpoint,     ///< Not run: the endpoint refused a write.
    UnknownGroup,         ///< Not run: no group of this name.
    EndpointLost,         ///< Not run: the connection broke and the work was rolled back.
    RetryBudgetExhausted, ///< Not run: the retry budget is used up.
    AnswerWithheld,       ///< A record had a schema version that was not asked for.
    OutcomeUnknown,       ///< The write may or may not have run.
    InvalidToken,         ///< Not run: the session token is malformed or was not issued here.
    InvalidAttribute,     ///< Not run: an attribute of the request is malformed.
    InvalidValue,         ///< A value in a change or setting is out of range.
    NotSupported,         ///< Not run: the protocol feature is not supported.
    ProtocolViolation,    ///< A malformed or unexpected message.
    MessageTooLarge,      ///< A message exceeds the size limit.
    UnsupportedVersion,   ///< The peer uses another protocol version.
    ChecksumMismatch,     ///< A message or file is corrupt.
    TooManyConnections,   ///< The host or endpoint has no free connection.
    RevisionConflict,     ///< A change was based on an old revision.
    Refused,              ///< The current state does not allow the change.
    NotLeader,            ///< This control host is not the leader.
    Unreachable,          ///< No answer from the other process.
    StorageFull,          ///< The disk is full.
    StorageFailure,       ///< The disk cannot be read or written.
    InvalidSettings,      ///< The settings file has an error.
};

/// @brief How an error kind is reported to callers, operators and metrics.
struct ErrorAnswer
{
    ErrorKind kind;         ///< The kind.
    std::string_view name;  ///< Stable name for logs, metrics and JSON.
    std::string_view state; ///< SQLSTATE for callers.
    std::string_view text;  ///< Human-readable message.
    bool notRun;            ///< The request is certain to have had no effect.
    bool retryable;         ///< The same request may succeed later.
    int exitStatus;         ///< Exit status of hyssoprockctl.
};

/// @brief Looks up the description of an error kind.
/// @param kind Any kind; a value outside the enumeration counts as ProtocolViolation.
/// @return Table row of the kind, valid for the life of the process.
[[nodiscard]] const ErrorAnswer &describe(ErrorKind kind) noexcept;

/// @brief Stable name of an error kind.
/// @param kind Any kind.
/// @return Its name, for example "queue_full".
[[nodiscard]] inline std::string_view toString(ErrorKind kind) noexcept
{
    return describe(kind).name;
}

} // namespace hyssoprock
