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
class ViewWait;
struct AnswerOperator;
struct AnswerRenew;
struct AnswerStatus;
struct CallEndpoint;
struct CommandCommitted;
struct CoordinatorSettings;
struct CoordinatorTick;
struct EndpointAnswered;
struct EndpointCallAnswer;
struct EndpointCallFailed;
struct EndpointProbe;
struct FailoverContext;
struct FailoverReport;
struct FailureVerdict;
struct FenceCall;
struct FollowCall;
struct HostLease;
struct HostPlace;
struct LeadershipGained;
struct LeadershipLost;
struct OpenCall;
struct OperatorReceived;
struct PromoteCall;
struct ProposeCommand;
struct PushView;
struct RenewReceived;
struct ReportFailover;
struct StatusCall;
struct StatusReceived;
struct ValidHosts;
struct VoterAddress;
struct VotersCall;
struct WriteLog;

} // namespace hyssoprock
