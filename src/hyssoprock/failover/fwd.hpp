#pragma once

/// @file
/// @brief Forward declarations of the failover module.

namespace hyssoprock {

class Coordinator;
class DrainTracker;
class EndpointProbeTable;
class EvidenceTable;
class GroupController;
class Handover;
class HostLeaseTable;
class MemberRepair;
class Outbox;
class PrimaryElection;
class ViewBarrier;
struct SendOperatorResponse;
struct SendRenewResponse;
struct SendStatusResponse;
struct CallEndpoint;
struct CommandCommitted;
struct CoordinatorSettings;
struct CoordinatorTick;
struct EndpointCallSucceeded;
struct EndpointCallResponse;
struct EndpointCallFailed;
struct EndpointProbe;
struct FailoverContext;
struct FailoverReport;
struct FailureDetection;
struct FenceCall;
struct FollowCall;
struct HostLease;
struct HostLocation;
struct LeadershipGained;
struct LeadershipLost;
struct PendingCall;
struct OperatorRequestReceived;
struct PromoteCall;
struct ProposeCommand;
struct PushView;
struct RenewRequestReceived;
struct ReportFailover;
struct StatusCall;
struct StatusRequestReceived;
struct ValidHosts;
struct VoterAddress;
struct VotersCall;
struct WriteLog;

} // namespace hyssoprock
