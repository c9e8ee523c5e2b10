#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/freshness/position_sample.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Events that a Pooler processes.

namespace hyssoprock {

/// @brief Identifier of a caller's connection; never reused.
using CallerId = std::uint64_t;
/// @brief Identifier of a connection to an endpoint; never reused.
using ConnectionId = std::uint64_t;

/// @brief Why a connection to an endpoint could not be opened or was closed.
enum class ConnectionFailure : std::uint8_t {
    Refused,            ///< The address is reachable, but nothing listens there.
    Silent,             ///< Timeout.
    Misrouted,          ///< Another service or endpoint listens there.
    TooManyConnections, ///< The endpoint is at its connection limit.
    Closed,             ///< The endpoint closed or reset it.
    Protocol,           ///< The endpoint violated the protocol.
};

namespace pooler {

/// @brief Timer event, sent at Pooler::nextDeadline() at the latest.
struct Tick
{};

/// @brief A caller has connected and requested a database.
struct CallerConnected
{
    CallerId caller = 0;
    std::string database;
    std::string user; ///< Key of a team, if the document has teams.
};

/// @brief A caller has sent a statement.
struct StatementReceived
{
    CallerId caller = 0;
    Statement statement;
};

/// @brief A caller's connection was closed.
struct CallerDisconnected
{
    CallerId caller = 0;
};

/// @brief A connection to an endpoint is open.
struct ConnectionOpened
{
    ConnectionId connection = 0;
};

/// @brief A connection to an endpoint could not be opened or was closed. No later event refers to
/// it.
struct ConnectionEnded
{
    ConnectionId connection = 0;
    ConnectionFailure reason = ConnectionFailure::Closed;
};

/// @brief An endpoint has answered the oldest unanswered command of a connection.
struct AnswerReceived
{
    ConnectionId connection = 0;
    StatementAnswer answer;
};

/// @brief A newer deployment document is in force.
struct DocumentChanged
{
    std::shared_ptr<const DeploymentDocument> document;
};

/// @brief The complete list of known endpoints.
struct EndpointsChanged
{
    std::vector<EndpointRecord> endpoints;
};

/// @brief The control leader has announced a primary, or withdrawn one (no endpoint).
struct PrimaryChanged
{
    PrimaryRecord primary;
};

/// @brief The lease on the announced primaries was granted or renewed.
struct LeaseExtended
{
    Instant until; ///< End of the lease; later than the former one.
};

/// @brief A control host has reported positions of primaries.
struct PositionsReceived
{
    std::vector<PositionSample> samples;
};

/// @brief Number of entry hosts that share the endpoints' connections, this one included.
struct EntryHostsChanged
{
    std::uint32_t entryHosts = 1;
};

/// @brief The control leader requests the reachability of an endpoint.
struct EvidenceRequested
{
    std::string service;
    std::string endpoint;
};

/// @brief Waiting operations of a team may run. Those that wait no longer are lost.
struct AllowanceGranted
{
    std::string team;
    std::uint32_t count = 0;
};

/// @brief No waiting operation of a team may run now.
struct AllowanceDenied
{
    std::string team;
    Duration retryAfter{}; ///< Time until an operation may be granted.
    bool overLimit =
        true; ///< Whether the team is over its limit; otherwise no control host grants.
};

/// @brief The process is shutting down.
struct ShutdownStarted
{
    Duration transactionGrace{}; ///< Time in which open transactions may finish.
    Duration grace{};            ///< Time until the last caller is closed.
};

} // namespace pooler

/// @brief Event of a Pooler.
using PoolerEvent =
    std::variant<pooler::Tick, pooler::CallerConnected, pooler::StatementReceived,
                 pooler::CallerDisconnected, pooler::ConnectionOpened, pooler::ConnectionEnded,
                 pooler::AnswerReceived, pooler::DocumentChanged, pooler::EndpointsChanged,
                 pooler::PrimaryChanged, pooler::LeaseExtended, pooler::PositionsReceived,
                 pooler::EntryHostsChanged, pooler::EvidenceRequested, pooler::AllowanceGranted,
                 pooler::AllowanceDenied, pooler::ShutdownStarted>;

} // namespace hyssoprock
