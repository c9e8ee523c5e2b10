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

/// @brief Names a request whose answer is due; chosen by the daemon, for example per connection.
using RequestId = std::uint64_t;

/// @brief Names a call to an endpoint; chosen by the Coordinator, never reused by one process.
using CallId = std::uint64_t;

/// @brief This control host leads, and the catalogue holds every command committed before its term
/// (that is, an entry of its own term has been applied).
struct LeadershipGained
{
    std::uint64_t term = 0; ///< Term of the control group.
};

/// @brief This control host does not lead; all volatile state is dropped.
///
/// Delivered when leadership ends, and to a follower each time the leader that it knows changes: an
/// outdated hint could send entry hosts round in a circle.
struct LeadershipLost
{
    std::string leader; ///< The new leader if known.
};

/// @brief An entry host asks for its lease.
struct RenewRequestReceived
{
    RequestId request = 0;    ///< For the answer.
    HostRenewRequest message; ///< The request.
};

/// @brief An operator's change. The daemon itself handles requests with `controlHosts`.
struct OperatorRequestReceived
{
    RequestId request = 0;   ///< For the answer.
    OperatorRequest message; ///< The request.
};

/// @brief Somebody asks for the state of the system.
struct StatusRequestReceived
{
    RequestId request = 0; ///< For the answer.
    StatusRequest message; ///< The request.
};

/// @brief A command was committed and has been applied to the catalogue.
struct CommandCommitted
{
    CatalogCommand command; ///< The command, proposed by this leader or by an earlier one.
    CatalogResult result;   ///< What apply returned.
};

/// @brief An endpoint has answered a call.
struct EndpointCallSucceeded
{
    CallId call = 0;             ///< The call.
    EndpointCallResponse report; ///< The parsed answer.
};

/// @brief An endpoint has refused a call, or has not answered within the call's timeout.
struct EndpointCallFailed
{
    CallId call = 0; ///< The call.
    Error error;     ///< Unreachable, or Refused for an answer with an SQLSTATE.
};

/// @brief Time has passed; see Coordinator::nextDeadline.
struct CoordinatorTick
{};

/// @brief Anything that a Coordinator is told.
using CoordinatorEvent =
    std::variant<LeadershipGained, LeadershipLost, RenewRequestReceived, OperatorRequestReceived,
                 StatusRequestReceived, CommandCommitted, EndpointCallSucceeded, EndpointCallFailed,
                 CoordinatorTick>;

/// @brief Propose a command to the control group. Losing it is harmless: it is proposed again.
struct ProposeCommand
{
    CatalogCommand command; ///< The command.
};

/// @brief Answer a renewal.
struct SendRenewResponse
{
    RequestId request = 0;     ///< Which request.
    HostRenewResponse message; ///< The answer.
};

/// @brief Answer an operator.
struct SendOperatorResponse
{
    RequestId request = 0;    ///< Which request.
    OperatorResponse message; ///< The answer.
};

/// @brief Answer a status request. The daemon adds `controlHosts`.
struct SendStatusResponse
{
    RequestId request = 0;  ///< Which request.
    StatusResponse message; ///< The answer.
};

/// @brief Send a view change to every connected entry host. A host that has another version than
/// `previousVersion` ignores it and gets the difference with its next renewal. A host that applies
/// it renews at once, which confirms the view.
struct PushView
{
    ViewPush message; ///< The change.
};

/// @brief Call an endpoint; exactly one EndpointCallSucceeded or EndpointCallFailed must follow,
/// unless leadership is lost before.
struct CallEndpoint
{
    CallId call = 0;         ///< For the answer.
    std::string endpoint;    ///< Name.
    std::string address;     ///< IP number and port.
    EndpointRequest request; ///< What to call.
    Duration timeout{0};     ///< After this the call has failed.
};

/// @brief Write a line to the log.
struct WriteLog
{
    std::string text; ///< Without prefix; the prefix is `[failover]`.
};

/// @brief Record the measured shares of a finished change of primary.
struct ReportFailover
{
    FailoverReport report; ///< The shares.
};

/// @brief Anything that a Coordinator wants done, in order.
using CoordinatorAction =
    std::variant<ProposeCommand, SendRenewResponse, SendOperatorResponse, SendStatusResponse,
                 PushView, CallEndpoint, WriteLog, ReportFailover>;

/// @brief Actions of one event, in the order in which they are to be carried out.
using CoordinatorActions = std::vector<CoordinatorAction>;

} // namespace hyssoprock
