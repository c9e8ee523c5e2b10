#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/request/endpoint_command.hpp>
#include <hyssoprock/routing/endpoint_report.hpp>
#include <hyssoprock/statement/caller_statement.hpp>
#include <hyssoprock/statement/statement_outcome.hpp>
#include <hyssoprock/statement/transaction_state.hpp>

/// @file
/// @brief Events and actions of a session machine.

namespace hyssoprock {

/// @brief Id of a connection to an endpoint; unique within the process and never reused.
enum class ConnectionId : std::uint64_t {};
/// @brief Id of a request for a connection; unique within the session.
enum class AcquireId : std::uint64_t {};
/// @brief Id of a command sent on a connection; unique within the session.
enum class SendId : std::uint64_t {};

/// @brief Column of a result.
struct ResultColumn
{
    std::string name{};         ///< Name.
    std::uint32_t typeOid = 25; ///< Type oid; 25 is text.

    [[nodiscard]] bool operator==(const ResultColumn &) const = default;
};

/// @brief Values of a row in text format; std::nullopt for NULL.
using ResultRow = std::vector<std::optional<std::string>>;

/// @brief Kind of a result as far as the session machine depends on it. It may differ from the kind
/// of the statement: a commit of a failed transaction reports a rollback.
enum class ResultKind : std::uint8_t {
    Other,      ///< Any other result.
    Begin,      ///< A transaction was opened.
    Commit,     ///< A transaction was committed.
    Rollback,   ///< A transaction was rolled back.
    SetOption,  ///< A session option was set.
    ShowOption, ///< A session option was shown.
};

/// @brief Result of one statement of a query.
struct StatementResult
{
    std::vector<ResultColumn> columns{}; ///< Empty if the statement returns no rows.
    std::vector<ResultRow> rows{};       ///< Rows.
    std::string tag{}; ///< Command tag of the endpoint; empty for the proxy's own.
    ResultKind kind = ResultKind::Other; ///< Determines the tag of the proxy's own results.

    [[nodiscard]] bool operator==(const StatementResult &) const = default;
};

/// @brief Content of an ErrorResponse.
struct SqlError
{
    std::string state{};              ///< SQLSTATE.
    std::string message{};            ///< Message text.
    ErrorKind kind = ErrorKind::None; ///< None if the error comes from the endpoint.

    [[nodiscard]] bool operator==(const SqlError &) const = default;
};

// ---- events ----

/// @brief The caller closed its connection, or its idle timeout expired.
struct CallerDisconnected
{};

/// @brief The caller requested the cancellation of its running statement.
struct CallerCancelled
{};

/// @brief A requested connection is available.
struct ConnectionGranted
{
    AcquireId acquire{};          ///< From AcquireConnection.
    ConnectionId connection{};    ///< Idle connection without an open transaction.
    std::string schemaVersions{}; ///< Value from its last ReleaseConnection; empty for a new one.
};

/// @brief A requested connection is not available.
struct ConnectionRefused
{
    AcquireId acquire{};                     ///< From AcquireConnection.
    ErrorKind kind = ErrorKind::Unreachable; ///< QueueFull, DeadlineExceeded, Unreachable, ...
    std::string detail{};                    ///< Description for logs and error messages.
};

/// @brief Complete answer to one SendCommand, as EndpointDialect::interpret() returns it.
struct EndpointAnswer
{
    ConnectionId connection{};              ///< From SendCommand.
    SendId send{};                          ///< From SendCommand.
    std::vector<StatementResult> results{}; ///< Without the rows already delivered as AnswerPart.
    std::optional<SqlError> error{};        ///< ErrorResponse, if one was received.
    TransactionState status{};              ///< Transaction state afterwards.
    EndpointReport report{};                ///< Newest ParameterStatus values.
    /// Success, Failed, ReadOnly (no change was kept), or Unknown if the answer has an unexpected
    /// format without an error.
    AnswerKind kind = AnswerKind::Success;
    std::optional<bool> requestIdFound{}; ///< Result of LookUpRequestId.
};

/// @brief Rows of an answer that exceeds the buffer limit, in order. The daemon reads more data
/// from the endpoint only after ContinueReading.
struct AnswerPart
{
    ConnectionId connection{}; ///< From SendCommand.
    SendId send{};             ///< From SendCommand.
    StatementResult result{};  ///< Columns and the next rows; the tag comes with EndpointAnswer.
    std::uint32_t statementIndex = 0; ///< Index of the result, without the proxy's own.
    EndpointReport report{};          ///< Newest ParameterStatus values.
    bool fromProxy = false;           ///< The result belongs to a statement that the proxy added.
};

/// @brief A connection was lost or closed by the endpoint, also with a FATAL ErrorResponse.
struct ConnectionLost
{
    ConnectionId connection{}; ///< Lost connection.
};

/// @brief A view, the lease or the configuration changed.
struct ViewChanged
{};

/// @brief A wait for a majority is completed, see AckTracker::takeResolved().
struct AckResolved
{
    std::uint64_t request = 0; ///< ResolvedAck::request.
};

/// @brief This host is shutting down; the session ends after the current request or transaction.
struct HostLeaving
{};

/// @brief The time of nextDeadline() was reached.
struct Tick
{};

/// @brief Events of a session machine. The daemon passes the next CallerStatement only after
/// AnswerCaller.
using SessionEvent = std::variant<CallerStatement, CallerDisconnected, CallerCancelled,
                                  ConnectionGranted, ConnectionRefused, EndpointAnswer, AnswerPart,
                                  ConnectionLost, ViewChanged, AckResolved, HostLeaving, Tick>;

// ---- actions ----

/// @brief Purpose of a connection request.
enum class ConnectionPurpose : std::uint8_t {
    Read,   ///< Read of a caller.
    Write,  ///< Any other work of a caller.
    Settle, ///< Look-up of a request id.
};

/// @brief Requests a connection through the admission queue; the result is ConnectionGranted or
/// ConnectionRefused.
struct AcquireConnection
{
    AcquireId acquire{};                                  ///< Echoed in the answer.
    std::string endpoint{};                               ///< Endpoint.
    ConnectionPurpose purpose = ConnectionPurpose::Write; ///< Purpose.
    Instant deadline{};                                   ///< Latest time of the result.
    bool retry = false;                                   ///< Counts against the retry budget.
};

/// @brief Cancels a connection request. If the connection is granted concurrently, the machine
/// releases it.
struct CancelAcquire
{
    AcquireId acquire{}; ///< From AcquireConnection.
};

/// @brief Sends a command as encoded by EndpointDialect::encode().
struct SendCommand
{
    ConnectionId connection{}; ///< Connection.
    SendId send{};             ///< Echoed in the answer.
    RequestCommand command{};  ///< Command.
};

/// @brief Returns a connection. The machine ignores everything that is received on it afterwards.
struct ReleaseConnection
{
    ConnectionId connection{};    ///< Connection.
    bool reusable = false;        ///< If false, close it at once, so that the endpoint rolls back.
    std::string schemaVersions{}; ///< Version filter to keep for ConnectionGranted.
};

/// @brief Completes the query of the caller: results, an optional error and ReadyForQuery.
struct AnswerCaller
{
    std::vector<StatementResult> results{}; ///< Results without the rows sent as ForwardRows.
    std::optional<SqlError> error{};        ///< Error that follows the results.
    TransactionState status{};              ///< Status for ReadyForQuery.
};

/// @brief Forwards rows to the caller before the answer is complete.
struct ForwardRows
{
    StatementResult result{};         ///< Columns and rows.
    std::uint32_t statementIndex = 0; ///< Index of the statement, without the proxy's own.
};

/// @brief Reads the next part of an answer that exceeds the buffer limit.
struct ContinueReading
{
    ConnectionId connection{}; ///< Connection.
};

/// @brief Sends ParameterStatus `hyssoprock.session` before the next ReadyForQuery.
struct ReportToken
{
    std::string token{}; ///< Signed token.
};

/// @brief Writes a log line.
struct LogLine
{
    std::string text{}; ///< Text including the component prefix.
};

/// @brief Closes the connection of the caller; no request is in flight.
struct CloseCaller
{
    ErrorKind kind = ErrorKind::None; ///< Reason; None if the caller disconnected.
};

/// @brief Actions of a session machine, to be executed in order.
using SessionAction =
    std::variant<AcquireConnection, CancelAcquire, SendCommand, ReleaseConnection, AnswerCaller,
                 ForwardRows, ContinueReading, ReportToken, LogLine, CloseCaller>;

/// @brief Actions in order.
using SessionActions = std::vector<SessionAction>;

} // namespace hyssoprock
