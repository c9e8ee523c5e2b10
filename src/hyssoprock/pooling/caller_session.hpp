#pragma once

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

/// @brief Transaction that a caller has begun.
struct CallerTransaction
{
    bool readOnly = false;            ///< Begun as read-only.
    bool plain = false;               ///< The endpoint runs it as one that may write.
    bool failed = false;              ///< Only its end is accepted.
    bool wrote = false;               ///< It has sent a write.
    bool lost = false;                ///< It was rolled back while no statement was under way.
    Instant begunAt;                  ///< When its begin arrived.
    ConnectionId connection = 0;      ///< Connection that holds it; 0 until its first statement.
    Route route;                      ///< Route at its begin.
    PooledService *service = nullptr; ///< Service of the route.
};

/// @brief How far a statement has come.
enum class RequestPhase : std::uint8_t {
    Waiting,   ///< No connection yet; nothing was sent.
    Beginning, ///< A transaction is being opened for it; the statement itself was not sent.
    Running,   ///< The statement was sent.
};

/// @brief Statement of a caller that is not answered yet.
struct CallerRequest
{
    Statement statement;                        ///< The statement.
    Route route;                                ///< Route that applies to it.
    PooledService *service = nullptr;           ///< Service of the route.
    RequestPhase phase = RequestPhase::Waiting; ///< How far it has come.
    bool writes = false;                        ///< It may change data.
    bool needsPrimary = false;                  ///< It may run on the primary only.
    bool guarded = false;                       ///< A read in a transaction of our own.
    bool plainBegin = false;                    ///< The transaction opened for it may write.
    std::optional<LogPosition> demanded;        ///< Position that its endpoint has to hold.
    Instant arrivedAt;                          ///< When it arrived.
    Instant freshAsOf;                     ///< Commits acknowledged before count for its reads.
    Instant waitDeadline;                  ///< When waiting for a connection is given up.
    Instant runDeadline;                   ///< When its answer is given up.
    Instant sentAt;                        ///< When it was sent.
    ConnectionId connection = 0;           ///< Connection that runs it.
    std::uint32_t attempts = 0;            ///< How often it was sent.
    std::vector<std::string> avoided;      ///< Endpoints that could not run it.
    PreparedStatement prepared;            ///< For Execute: what to run.
    RoutingRule rule = RoutingRule::Local; ///< As it is counted.
    AnsweringRole answeredBy = AnsweringRole::None; ///< As it is counted.
};

/// @brief Route of a session by the document that was in force when it was looked up.
struct SessionRoute
{
    std::uint64_t document = 0;       ///< Counts the documents; 0: not looked up yet.
    const Route *route = nullptr;     ///< Null if the document has none for the session.
    PooledService *service = nullptr; ///< Service of the route; null without a route.
};

/// @brief One caller.
struct CallerSession
{
    CallerId id = 0;                              ///< Its name.
    std::string database;                         ///< Database that it named.
    bool accepted = false;                        ///< The startup was answered.
    Instant arrivedAt;                            ///< When it connected.
    Instant activeAt;                             ///< When its last statement was answered.
    SessionValues values;                         ///< Variables and prepared statements.
    SessionFloor floor;                           ///< Position of its last commit by service.
    std::optional<CallerTransaction> transaction; ///< Open transaction.
    std::optional<CallerRequest> request;         ///< Statement under way.
    std::deque<Statement> queued;                 ///< Statements sent ahead.
    std::optional<Instant> wakeAt;                ///< Next deadline that is scheduled.
    SessionRoute route;                           ///< See Pooler::Impl::routeOf().
};

} // namespace hyssoprock
