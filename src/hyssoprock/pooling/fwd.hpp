#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the pooling module.

namespace hyssoprock {

enum class Admission : std::uint8_t;
enum class CommandPurpose : std::uint8_t;
enum class ConnectionFailure : std::uint8_t;
enum class RoutingRule : std::uint8_t;
enum class AnsweringRole : std::uint8_t;
enum class EndpointCommandKind : std::uint8_t;
enum class RequestPhase : std::uint8_t;
class ConnectionUsage;
class ConnectionValues;
class Pooler;
class PreparedNames;
struct CallerRequest;
struct CallerSession;
struct CallerTransaction;
struct EndpointCommand;
struct HomeAssignment;
struct HomeCandidate;
struct PendingCommand;
struct PooledConnection;
struct PooledEndpoint;
struct PooledService;
struct PoolerCounters;
struct PoolerSettings;
struct PoolerUsage;
struct PreparedStatement;
struct PrimaryWithdrawal;
struct SessionValues;
struct StatementAnswer;

} // namespace hyssoprock

namespace hyssoprock::pooler {

struct AcceptCaller;
struct AllowanceDenied;
struct AllowanceGranted;
struct AnswerReceived;
struct AnswerCaller;
struct CallerConnected;
struct CallerDisconnected;
struct CloseCaller;
struct CloseConnection;
struct ConnectionEnded;
struct ConnectionOpened;
struct DocumentChanged;
struct EndpointsChanged;
struct EntryHostsChanged;
struct EvidenceRequested;
struct LeaseExtended;
struct LogDecision;
struct OpenConnection;
struct PositionsReceived;
struct PrimaryChanged;
struct PrimaryReleased;
struct RefuseCaller;
struct ReportEvidence;
struct RequestAllowance;
struct SendCommand;
struct ShutdownFinished;
struct ShutdownStarted;
struct StatementReceived;
struct Tick;

} // namespace hyssoprock::pooler
