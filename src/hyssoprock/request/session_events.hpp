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

/// @brief Connection to an endpoint; unique within the process, never reused.
enum class ConnectionId : std::uint64_t {};
/// @brief Request for a connection; unique within the session.
enum class AcquireId : std::uint64_t {};
/// @brief A command sent on a connection; unique within the session.
enum class SendId : std::uint64_t {};

/// @brief Column of a result.
struct ResultColumn
{
    std::string name{};         ///< Name.
    std::uint32_t typeOid = 25; ///< Type; 25 is text.

    [[nodiscard]] bool operator==(const ResultColumn &) const = default;
};

/// @brief Values of a row in text form; absent for NULL.
using ResultRow = std::vector<std::optional<std::string>>;

/// @brief What a result reports, as far as the session machine depends on it. This is not the kind
/// of the statement: the commit of a failed transaction reports a rollback.
enum class ResultKind : std::uint8_t {
    Other,      ///< Anything else.
    Begin,      ///< A transaction was opened.
    Commit,     ///< It was committed.
    Rollback,   ///< It was rolled back.
    SetOption,  ///< An option of the session was set.
    ShowOption, ///< An option of the session was shown.
};

/// @brief Result of one statement of a caller's message.
struct StatementResult
{
    std::vector<ResultColumn> columns{}; ///< Empty if the statement returns no rows.
    std::vector<ResultRow> rows{};       ///< Rows.
    std::string tag{};                   ///< Command tag of the endpoint; empty for our own.
    ResultKind kind = ResultKind::Other; ///< Gives the tag of our own.

    [[nodiscard]] bool operator==(const StatementResult &) const = default;
};

/// @brief Error as in ErrorResponse.
struct SqlError
{
    std::string state{};              ///< SQLSTATE.
    std::string message{};            ///< Text.
    ErrorKind kind = ErrorKind::None; ///< None if the error is the endpoint's own.

    [[nodiscard]] bool operator==(const SqlError &) const = default;
};

// ---- events ----

/// @brief The caller has closed its connection, or is idle for too long.
struct CallerDisconnected
{};

/// @brief The caller has asked to cancel its running statement.
struct CallerCancelled
{};

/// @brief A connection that was asked for.
struct ConnectionGranted
{
    AcquireId acquire{};          ///< From AcquireConnection.
    ConnectionId connection{};    ///< The connection; idle and outside a transaction.
    std::string schemaVersions{}; ///< Value from its last ReleaseConnection; empty for a new one.
};

/// @brief A connection that cannot be had.
struct ConnectionRefused
{
    AcquireId acquire{};                     ///< From AcquireConnection.
    ErrorKind kind = ErrorKind::Unreachable; ///< QueueFull, DeadlineExceeded, Unreachable, ...
    std::string detail{};                    ///< For people.
};

/// @brief Complete answer to one SendCommand, as EndpointDialect::interpret() returns it.
struct EndpointAnswer
{
    ConnectionId connection{};              ///< From SendCommand.
    SendId send{};                          ///< From SendCommand.
    std::vector<StatementResult> results{}; ///< Without rows passed on as AnswerPart before.
    std::optional<SqlError> error{};        ///< ErrorResponse, if there was one.
    TransactionState status{};              ///< State of the connection afterwards.
    EndpointReport report{};                ///< Newest ParameterStatus values.
    /// Success, Failed, ReadOnly (nothing was kept), or Unknown without an error: the answer has an
    /// unexpected form.
    AnswerKind kind = AnswerKind::Success;
    std::optional<bool> requestIdFound{}; ///< Result of LookUpRequestId.
};

/// @brief Rows of an answer over the buffer limit, in order. The daemon reads on from the endpoint
/// only after ContinueReading.
struct AnswerPart
{
    ConnectionId connection{}; ///< From SendCommand.
    SendId send{};             ///< From SendCommand.
    StatementResult result{};  ///< Columns and the next rows; the tag comes with EndpointAnswer.
    std::uint32_t statementIndex = 0; ///< Index of the result, without the proxy's own.
    EndpointReport report{};          ///< Newest ParameterStatus values.
    bool fromProxy = false;           ///< The result belongs to a statement that the proxy added.
};

/// @brief A connection broke, or the endpoint ended it (also a FATAL ErrorResponse).
struct ConnectionLost
{
    ConnectionId connection{}; ///< The connection.
};

/// @brief A view, the lease or the configuration has changed.
struct ViewChanged
{};

/// @brief A wait for a majority is over; from AckTracker::takeResolved().
struct AckResolved
{
    std::uint64_t request = 0; ///< ResolvedAck::request.
};

/// @brief This host is shutting down: the session is to end between requests.
struct HostLeaving
{};

/// @brief The time of nextDeadline() has come.
struct Tick
{};

/// @brief Everything that a session machine handles. The daemon hands in the next CallerStatement
/// only after AnswerCaller.
using SessionEvent = std::variant<CallerStatement, CallerDisconnected, CallerCancelled,
                                  ConnectionGranted, ConnectionRefused, EndpointAnswer, AnswerPart,
                                  ConnectionLost, ViewChanged, AckResolved, HostLeaving, Tick>;

// ---- actions ----

/// @brief Why a connection is wanted.
enum class ConnectionPurpose : std::uint8_t {
    Read,   ///< Read of a caller.
    Write,  ///< Any other work of a caller.
    Settle, ///< Look-up of a request id; no work of a caller.
};

/// @brief Get a connection through the admission queue; answered by granted or refused.
struct AcquireConnection
{
    AcquireId acquire{};                                  ///< Echoed in the answer.
    std::string endpoint{};                               ///< Endpoint.
    ConnectionPurpose purpose = ConnectionPurpose::Write; ///< Purpose.
    Instant deadline{};                                   ///< Refuse it at this time at the latest.
    bool retry = false;                                   ///< Draws on the retry budget.
};

/// @brief The connection is no longer wanted. If it is granted all the same (a race), the machine
/// releases it.
struct CancelAcquire
{
    AcquireId acquire{}; ///< From AcquireConnection.
};

/// @brief Send a command, as EndpointDialect::encode() writes it.
struct SendCommand
{
    ConnectionId connection{}; ///< Connection.
    SendId send{};             ///< Echoed in the answer.
    RequestCommand command{};  ///< Command.
};

/// @brief Give a connection back. The machine ignores whatever arrives on it afterwards.
struct ReleaseConnection
{
    ConnectionId connection{};    ///< Connection.
    bool reusable = false;        ///< False: close it at once, so that the endpoint rolls back.
    std::string schemaVersions{}; ///< To be kept with the connection for ConnectionGranted.
};

/// @brief Complete the caller's statement: results, error if there is one, ReadyForQuery.
struct AnswerCaller
{
    std::vector<StatementResult> results{}; ///< Results; rows sent as ForwardRows not included.
    std::optional<SqlError> error{};        ///< Error after the results.
    TransactionState status{};              ///< For ReadyForQuery.
};

/// @brief Send rows on before the answer is complete.
struct ForwardRows
{
    StatementResult result{};         ///< Columns and rows.
    std::uint32_t statementIndex = 0; ///< Index of the statement, without the proxy's own.
};

/// @brief Read the next part of an answer over the buffer limit.
struct ContinueReading
{
    ConnectionId connection{}; ///< Connection.
};

/// @brief Send ParameterStatus `hyssoprock.session` before the next ReadyForQuery.
struct ReportToken
{
    std::string token{}; ///< Signed token.
};

/// @brief Write a log line.
struct LogLine
{
    std::string text{}; ///< With its component prefix.
};

/// @brief Close the caller's connection; nothing of it is in flight.
struct CloseCaller
{
    ErrorKind kind = ErrorKind::None; ///< Reason; None if the caller has gone.
};

/// @brief Everything that a session machine asks for, to be carried out in order.
using SessionAction =
    std::variant<AcquireConnection, CancelAcquire, SendCommand, ReleaseConnection, AnswerCaller,
                 ForwardRows, ContinueReading, ReportToken, LogLine, CloseCaller>;

/// @brief Actions in order.
using SessionActions = std::vector<SessionAction>;

} // namespace hyssoprock
