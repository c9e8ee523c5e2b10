#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief Actions that a Pooler returns to its owner.

namespace hyssoprock {

namespace pooler {

/// @brief Accept the caller's startup.
struct AcceptCaller
{
    CallerId caller = 0;
};

/// @brief Answer the startup with an error and close the connection. No later action refers to the
/// caller.
struct RefuseCaller
{
    CallerId caller = 0;
    AnswerKind kind = AnswerKind::NoDatabase;
    std::string text;
};

/// @brief Answer the caller's statement.
struct AnswerCaller
{
    CallerId caller = 0;
    StatementAnswer answer;
    std::size_t sessionBytes = 0; ///< Memory of the session's variables and prepared statements.
};

/// @brief Close a caller's connection after sending pending answers. No later action refers to it.
struct CloseCaller
{
    CallerId caller = 0;
};

/// @brief Open a connection; results in ConnectionOpened or ConnectionEnded.
struct OpenConnection
{
    ConnectionId connection = 0;
    std::string service;
    std::string endpoint;
    std::string address;
    std::string team; ///< Named to the endpoint; empty if this host names itself.
};

/// @brief Send a command. Several may be sent before the first is answered.
struct SendCommand
{
    ConnectionId connection = 0;
    EndpointCommand command;
};

/// @brief Close a connection to an endpoint; no event about it follows.
struct CloseConnection
{
    ConnectionId connection = 0;
};

/// @brief Send the reachability of an endpoint to every control host.
struct ReportEvidence
{
    std::string service;
    std::string endpoint;
    Reachability reachability = Reachability::Unknown;
};

/// @brief Report that this host no longer uses the withdrawn primary of a service.
struct PrimaryReleased
{
    std::string service;
    std::uint64_t epoch = 0; ///< Epoch of the withdrawal.
};

/// @brief Request permission for the operations of a team that wait for it. Replaces the team's
/// former number; results in AllowanceGranted and AllowanceDenied unless the number is 0.
struct RequestAllowance
{
    std::string team;
    std::uint32_t count = 0;
};

/// @brief Write a log line about a routing decision. The text includes its prefix.
struct LogDecision
{
    std::string text;
};

/// @brief All callers are closed; the process may exit.
struct ShutdownFinished
{};

} // namespace pooler

/// @brief Action of a Pooler.
using PoolerAction =
    std::variant<pooler::AcceptCaller, pooler::RefuseCaller, pooler::AnswerCaller,
                 pooler::CloseCaller, pooler::OpenConnection, pooler::SendCommand,
                 pooler::CloseConnection, pooler::ReportEvidence, pooler::PrimaryReleased,
                 pooler::RequestAllowance, pooler::LogDecision, pooler::ShutdownFinished>;

/// @brief Actions in the order in which they must be carried out.
using PoolerActions = std::vector<PoolerAction>;

} // namespace hyssoprock
