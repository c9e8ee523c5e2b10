#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/pooling/pooled_service.hpp>
#include <hyssoprock/pooling/pooler_counters.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/session_values.hpp>
#include <hyssoprock/session/session_floor.hpp>

/// @file
/// @brief State of one caller's session.

namespace hyssoprock {

/// @brief Open transaction of a session.
struct CallerTransaction
{
    bool readOnly = false;            ///< Begun as read-only.
    bool readWrite = false;           ///< Begun at the endpoint as read-write.
    bool failed = false;              ///< Only a commit or rollback is accepted.
    bool hasWrites = false;           ///< A write was sent in it.
    bool lostWhileIdle = false;       ///< Rolled back while no statement was in progress.
    bool allowed = false;             ///< Counted against the limit of its team.
    Instant begunAt;                  ///< When its begin was received.
    ConnectionId connection = 0;      ///< Connection it runs on; 0 until its first statement.
    Route route;                      ///< Route at its begin.
    std::string team;                 ///< Team of the caller at its begin.
    PooledService *service = nullptr; ///< Service of the route.
};

/// @brief Progress of a statement.
enum class RequestPhase : std::uint8_t {
    AwaitingAllowance, ///< A control host was asked whether the team's limit allows it.
    Waiting,           ///< No connection is assigned; nothing was sent.
    Beginning,         ///< The begin of its transaction was sent, but not the statement itself.
    ApplyingValues,    ///< The values of its session were sent, but not the statement itself.
    Running,           ///< The statement was sent.
};

/// @brief Unanswered statement of a session.
struct CallerRequest
{
    Statement statement;                         ///< As received.
    Route route;                                 ///< Route that applies to it.
    std::string team;                            ///< Team of the caller; empty for none.
    PooledService *service = nullptr;            ///< Service of the route.
    RequestPhase phase = RequestPhase::Waiting;  ///< Progress.
    bool writes = false;                         ///< It may change data.
    bool needsPrimary = false;                   ///< Only the primary may run it.
    bool implicitTransaction = false;            ///< A read in a transaction that the host opened.
    bool readWriteBegin = false;                 ///< That transaction is read-write.
    std::optional<LogPosition> requiredPosition; ///< Position that its endpoint must hold.
    Instant receivedAt;                          ///< When it was received.
    Instant freshAsOf;               ///< Staleness of its reads is counted back from here.
    Instant waitDeadline;            ///< End of its wait for a connection.
    Instant runDeadline;             ///< End of its wait for an answer.
    Instant sentAt;                  ///< When it was sent.
    Instant overdueSentAt;           ///< Value of sentAt that was last recorded as overdue.
    ConnectionId connection = 0;     ///< Connection that runs it; 0 for none.
    std::uint32_t attempts = 0;      ///< Connections that it was assigned to.
    std::uint32_t valueFailures = 0; ///< Times that the session's values could not be applied.
    std::vector<std::string> excludedEndpoints;     ///< Endpoints that failed to run it.
    PreparedStatement prepared;                     ///< Execute: statement to run.
    std::string preparedName;                       ///< Execute: its name on the connection.
    RoutingRule rule = RoutingRule::Local;          ///< For the counters.
    AnsweringRole answeredBy = AnsweringRole::None; ///< For the counters.
};

/// @brief Cached route and team of a session, valid for one deployment document.
struct SessionRoute
{
    std::uint64_t documentNumber =
        0;                        ///< Pooler::Impl::documentNumber_ at the look-up; 0 before it.
    const Route *route = nullptr; ///< Null if the document has none for the session.
    PooledService *service = nullptr; ///< Service of the route; null without a route.
    std::string team;                 ///< Team that holds the session's key; empty for none.
    bool authorized = true;           ///< A team holds the key, or the route needs none.
};

/// @brief Session of one caller.
struct CallerSession
{
    CallerId id = 0;                              ///< Identifier of the caller.
    std::string database;                         ///< Database requested in the startup.
    std::string key;                              ///< Key given in the startup.
    bool accepted = false;                        ///< The startup was accepted.
    Instant connectedAt;                          ///< When it connected.
    Instant activeAt;                             ///< When its last statement was answered.
    SessionValues values;                         ///< Variables and prepared statements.
    std::size_t valueBytes = 0;                   ///< Memory of values; see valueBytesAfter().
    SessionFloor floor;                           ///< Position of its last commit by service.
    std::optional<CallerTransaction> transaction; ///< Open transaction.
    std::optional<CallerRequest> request;         ///< Statement in progress.
    std::deque<Statement> queuedStatements;       ///< Pipelined statements, oldest first.
    std::optional<Instant> wakeAt;                ///< Its entry in Pooler::Impl::wakes_.
    SessionRoute route;                           ///< See Pooler::Impl::routeOf().
};

} // namespace hyssoprock
