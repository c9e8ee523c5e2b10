#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>
#include <hyssoprock/failover/failover_report.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Events and actions of the Coordinator.

namespace hyssoprock {

/// @brief Identifies a request that is waiting for a response; chosen by the daemon.
using RequestId = std::uint64_t;

/// @brief Identifies a call to an endpoint; chosen by the Coordinator and unique per process.
using CallId = std::uint64_t;

/// @brief This control host is the leader and has applied an entry of its own term, so the
/// catalogue holds every command that was committed in earlier terms.
struct LeadershipGained
{
    std::uint64_t term = 0; ///< Raft term of the control group.
};

/// @brief This control host is not the leader; all volatile state is dropped.
///
/// Delivered when leadership ends, and to a follower whenever its known leader changes: outdated
/// leader hints could redirect entry hosts in a loop.
struct LeadershipLost
{
    std::string leader; ///< The new leader; empty if unknown.
};

/// @brief An entry host requests the renewal of its lease.
struct RenewRequestReceived
{
    RequestId request = 0;    ///< Identifies the response.
    HostRenewRequest message; ///< The request.
};

/// @brief An operator requests a change. The daemon itself handles requests with `controlHosts`.
struct OperatorRequestReceived
{
    RequestId request = 0;   ///< Identifies the response.
    OperatorRequest message; ///< The request.
};

/// @brief A client requests the state of the system.
struct StatusRequestReceived
{
    RequestId request = 0; ///< Identifies the response.
    StatusRequest message; ///< The request.
};

/// @brief A command was committed and has been applied to the catalogue.
struct CommandCommitted
{
    CatalogCommand command; ///< The command, proposed by this leader or by an earlier one.
    CatalogResult result;   ///< Result of Catalog::apply.
};

/// @brief An endpoint has responded to a call.
struct EndpointCallSucceeded
{
    CallId call = 0;               ///< The call.
    EndpointCallResponse response; ///< The parsed response.
};

/// @brief An endpoint has refused a call or has not responded within the call's timeout.
struct EndpointCallFailed
{
    CallId call = 0; ///< The call.
    Error error;     ///< Unreachable, or Refused for a response with an SQLSTATE.
};

/// @brief The time of Coordinator::nextDeadline has been reached.
struct CoordinatorTick
{};

/// @brief Event of a Coordinator.
using CoordinatorEvent =
    std::variant<LeadershipGained, LeadershipLost, RenewRequestReceived, OperatorRequestReceived,
                 StatusRequestReceived, CommandCommitted, EndpointCallSucceeded, EndpointCallFailed,
                 CoordinatorTick>;

/// @brief Propose a command to the control group. A lost proposal is repeated.
struct ProposeCommand
{
    CatalogCommand command; ///< The command.
};

/// @brief Respond to a lease renewal.
struct SendRenewResponse
{
    RequestId request = 0;     ///< The request.
    HostRenewResponse message; ///< The response.
};

/// @brief Respond to an operator.
struct SendOperatorResponse
{
    RequestId request = 0;    ///< The request.
    OperatorResponse message; ///< The response.
};

/// @brief Respond to a status request. The daemon adds `controlHosts`.
struct SendStatusResponse
{
    RequestId request = 0;  ///< The request.
    StatusResponse message; ///< The response.
};

/// @brief Send a view change to every connected entry host. A host whose version is not
/// `previousVersion` ignores it and gets the difference with its next renewal. A host that applies
/// it renews its lease immediately, which confirms the view.
struct PushView
{
    ViewPush message; ///< The change.
};

/// @brief Call an endpoint; exactly one EndpointCallSucceeded or EndpointCallFailed must follow,
/// unless leadership is lost first.
struct CallEndpoint
{
    CallId call = 0;         ///< Identifies the response.
    std::string endpoint;    ///< Name.
    std::string address;     ///< IP number and port.
    EndpointRequest request; ///< The call.
    Duration timeout{0};     ///< Time until the call counts as failed.
};

/// @brief Write a log line.
struct WriteLog
{
    std::string text; ///< Without prefix; the prefix is `[failover]`.
};

/// @brief Record the measured durations of a completed change of primary.
struct ReportFailover
{
    FailoverReport report; ///< Durations of its phases.
};

/// @brief Action of a Coordinator.
using CoordinatorAction =
    std::variant<ProposeCommand, SendRenewResponse, SendOperatorResponse, SendStatusResponse,
                 PushView, CallEndpoint, WriteLog, ReportFailover>;

/// @brief Actions in the order in which they must be carried out.
using CoordinatorActions = std::vector<CoordinatorAction>;

} // namespace hyssoprock
