#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the message module.

namespace hyssoprock {

enum class EndpointPhase : std::uint8_t;
enum class EndpointRole : std::uint8_t;
enum class EndpointState : std::uint8_t;
enum class FrameType : std::uint16_t;
enum class GroupState : std::uint8_t;
enum class HostState : std::uint8_t;
enum class LogEntryKind : std::uint8_t;
enum class Reachability : std::uint8_t;
enum class RowChangeKind : std::uint8_t;
struct ActivatePrimary;
struct AllowanceOffer;
struct AllowanceReply;
struct AllowanceRequest;
struct Announcement;
struct AppendRequest;
struct AppendResponse;
struct BeginHandover;
struct BeginTerm;
struct BudgetDemand;
struct BudgetGrant;
struct CancelHandover;
struct CancelStop;
struct CatalogCommand;
struct CatalogSnapshot;
struct ChangeControlHosts;
struct ColumnValue;
struct Configuration;
struct ConnectionCount;
struct ControlCommand;
struct ControlHostStatus;
struct ControlSnapshot;
struct DeclareGroup;
struct DeclareRecordKind;
struct DeploymentUpdate;
struct DocumentAnswer;
struct DocumentDelta;
struct DocumentRequest;
struct EndpointGone;
struct EndpointRecord;
struct EndpointStatus;
struct EntryHostStatus;
struct EntryReport;
struct EntryReportRequest;
struct ErrorResponse;
struct EvidenceReport;
struct EvidenceRequest;
struct FailureEvidence;
struct FinishResume;
struct ForgetMembers;
struct ForwardedAnswer;
struct ForwardedCall;
struct GroupRecord;
struct GroupView;
struct HandshakeRequest;
struct HardState;
struct HostRecord;
struct HostRenewRequest;
struct HostRenewResponse;
struct HostStatus;
struct IntendResume;
struct JoinRequest;
struct JournalEntry;
struct JournalFence;
struct JournalTruncation;
struct KeepAlive;
struct LeaveRequest;
struct LogEntry;
struct MarkStopped;
struct Member;
struct MembersRecord;
struct MembersSnapshot;
struct OperatorChange;
struct OperatorRequest;
struct OperatorResponse;
struct OrderPromotion;
struct PeerAck;
struct PeerPing;
struct PeerPingRequest;
struct PersistRecord;
struct PlanStop;
struct PooledEndpointStatus;
struct PooledStatusRequest;
struct PooledStatusResponse;
struct PrimaryRecord;
struct PromotionRecord;
struct PutDocument;
struct RaftSnapshot;
struct RecordEndpoint;
struct RecordKindRule;
struct RecordMembers;
struct RememberedChange;
struct RemoveRecordKind;
struct ReplicaEntries;
struct ReplicaFetch;
struct ResumeRecord;
struct RoutePart;
struct RouteRecord;
struct RowChange;
struct ServiceMember;
struct ServicePart;
struct ServiceRecord;
struct TeamPart;
struct TeamRecord;
struct TeamlessDocumentDelta;
struct SetPrimary;
struct SetVoter;
struct SettlePromotion;
struct SharedAnnouncement;
struct SnapshotRequest;
struct SnapshotResponse;
struct StatusRequest;
struct StatusResponse;
struct SubscribeRequest;
struct TransactionEntry;
struct TransferRequest;
struct VersionRule;
struct ViewPush;
struct VoteRequest;
struct VoteResponse;
struct VoterList;
struct WaitingSessions;

template <class Message>
struct FrameTypeOf;

} // namespace hyssoprock
