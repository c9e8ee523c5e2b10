#pragma once

#include <cstdint>
#include <string_view>

/// @file
/// @brief The closed list of error kinds and the answer that each one gives.

namespace hyssoprock {

/// @brief Every way in which a request, a change or a message can fail.
enum class ErrorKind : std::uint8_t {
    None,                 ///< Success.
    QueueFull,            ///< Not run: the queue has reached its bound.
    DeadlineExceeded,     ///< Not run: no connection within the deadline.
    NoPrimary,            ///< Not run: the group has no usable primary.
    NoLease,              ///< Not run: this host has no valid lease.
    AgeNotProven,         ///< Not run: no endpoint with provably fresh enough data.
    HostLeaving,          ///< Not run: this entry host is shutting down.
    VersionNotUnderstood, ///< Not run: no schema version that the caller understands is complete.
    VersionNotWritable,   ///< Not run: the rule does not allow writes of this schema version.
    ReadOnlyEndpoint,     ///< Not run: the endpoint refused a write.
    UnknownGroup,         ///< Not run: no group of this name.
    EndpointLost,         ///< Not run: the connection broke and the work was rolled back.
    RetryBudgetExhausted, ///< Not run: too many retries lately.
    AnswerWithheld,       ///< A record had a schema version that was not asked for.
    OutcomeUnknown,       ///< The write may or may not have run.
    InvalidToken,         ///< Not run: the session token is malformed or not ours.
    InvalidAttribute,     ///< Not run: an attribute of the request is malformed.
    InvalidValue,         ///< A value in a change or setting is out of range.
    NotSupported,         ///< Not run: a part of the protocol that is not served.
    ProtocolViolation,    ///< A message that cannot be understood.
    MessageTooLarge,      ///< A message over the size limit.
    UnsupportedVersion,   ///< Another protocol version.
    ChecksumMismatch,     ///< A message or file that was damaged.
    TooManyConnections,   ///< The host or endpoint has no connection to spare.
    RevisionConflict,     ///< A change was based on an old revision.
    Refused,              ///< A change that the present state does not allow.
    NotLeader,            ///< This control host is not the leader.
    Unreachable,          ///< No answer from the other process.
    StorageFull,          ///< The disk is full.
    StorageFailure,       ///< The disk cannot be read or written.
    InvalidSettings,      ///< The settings file has an error.
};

/// @brief What an error kind means to the one who gets it.
struct ErrorAnswer
{
    ErrorKind kind;         ///< The kind.
    std::string_view name;  ///< Stable name for logs, metrics and JSON.
    std::string_view state; ///< SQLSTATE for callers.
    std::string_view text;  ///< Message for people.
    bool notRun;            ///< The request had no effect, for certain.
    bool retryable;         ///< The same request may succeed later.
    int exitStatus;         ///< Exit status of hyssoprockctl.
};

/// @brief Looks up the answer to an error kind.
/// @param kind Any kind; a value outside the list counts as ProtocolViolation.
/// @return The row of the table.
[[nodiscard]] const ErrorAnswer &describe(ErrorKind kind) noexcept;

/// @brief Stable name of an error kind.
/// @param kind Any kind.
/// @return Its name, for example "queue_full".
[[nodiscard]] inline std::string_view toString(ErrorKind kind) noexcept
{
    return describe(kind).name;
}

} // namespace hyssoprock
