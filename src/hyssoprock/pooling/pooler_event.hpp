#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief What a Pooler reacts to.

namespace hyssoprock {

/// @brief Names a caller's connection; never used again.
using CallerId = std::uint64_t;
/// @brief Names a connection to an endpoint; never used again.
using ConnectionId = std::uint64_t;

/// @brief Why a connection to an endpoint could not be opened, or has ended.
enum class ConnectionFailure : std::uint8_t {
    Refused,            ///< The address answers, but nothing listens there.
    Silent,             ///< No answer in time.
    Misrouted,          ///< Another service or endpoint listens there.
    TooManyConnections, ///< The endpoint has no connection to spare.
    Closed,             ///< The endpoint closed it or it was reset.
    Protocol,           ///< The endpoint sent something that cannot be understood.
};

namespace pooler {

/// @brief Time has passed; due at Pooler::nextDeadline() at the latest.
struct Tick
{};

/// @brief A caller has connected and named its database.
struct CallerConnected
{
    CallerId caller = 0;
    std::string database;
    std::string user;
};

/// @brief A caller has sent a statement.
struct StatementReceived
{
    CallerId caller = 0;
    Statement statement;
};

/// @brief A caller's connection has ended.
struct CallerDisconnected
{
    CallerId caller = 0;
};

/// @brief A connection to an endpoint is open.
struct ConnectionOpened
{
    ConnectionId connection = 0;
};

/// @brief A connection to an endpoint could not be opened, or has ended. It is not used again.
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

/// @brief A newer document is in force.
struct DocumentChanged
{
    std::shared_ptr<const DeploymentDocument> document;
};

/// @brief The complete list of known endpoints.
struct EndpointsChanged
{
    std::vector<EndpointRecord> endpoints;
};

/// @brief The control leader names a primary.
struct PrimaryChanged
{
    PrimaryRecord primary;
};

/// @brief Number of entry hosts that share the endpoints' connections, this one included.
struct EntryHostsChanged
{
    std::uint32_t entryHosts = 1;
};

/// @brief The control leader asks whether an endpoint is reachable.
struct EvidenceRequested
{
    std::string service;
    std::string endpoint;
};

/// @brief The process is to end.
struct ShutdownStarted
{
    Duration transactionGrace{}; ///< Time that open transactions have to end.
    Duration grace{};            ///< Time until the last caller is closed.
};

} // namespace pooler

/// @brief Event of a Pooler.
using PoolerEvent =
    std::variant<pooler::Tick, pooler::CallerConnected, pooler::StatementReceived,
                 pooler::CallerDisconnected, pooler::ConnectionOpened, pooler::ConnectionEnded,
                 pooler::AnswerReceived, pooler::DocumentChanged, pooler::EndpointsChanged,
                 pooler::PrimaryChanged, pooler::EntryHostsChanged, pooler::EvidenceRequested,
                 pooler::ShutdownStarted>;

} // namespace hyssoprock
