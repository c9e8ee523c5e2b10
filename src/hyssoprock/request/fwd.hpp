#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the request module.

namespace hyssoprock {

enum class AckOutcome : std::uint8_t;
enum class ConnectionPurpose : std::uint8_t;
enum class FailureConsequence : std::uint8_t;
enum class RequestState : std::uint8_t;
enum class ResultKind : std::uint8_t;
class AckTracker;
class EndpointDialect;
class HostTables;
class RequestMachine;
class SessionMachine;
struct AckResolved;
struct AcquireConnection;
struct AnswerCaller;
struct ExpectedAnswer;
struct AnswerPart;
struct CallerCancelled;
struct CallerDisconnected;
struct CancelAcquire;
struct CloseCaller;
struct ConnectionGranted;
struct ConnectionLost;
struct ConnectionRefused;
struct ContinueReading;
struct EndpointAnswer;
struct EndpointQuery;
struct ForwardRows;
struct ForwardStatement;
struct HostLeaving;
struct LogLine;
struct LookUpRequestId;
struct PendingAck;
struct ReleaseConnection;
struct ReportToken;
struct RequestTraits;
struct ResolvedAck;
struct ResultColumn;
struct SendCommand;
struct SessionMachineSettings;
struct SqlError;
struct StatementResult;
struct Tick;
struct ViewChanged;

} // namespace hyssoprock
