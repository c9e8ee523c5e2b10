#pragma once

/// @file
/// @brief Forward declarations of the pooler module.

namespace hyssoprock {

class CallerCodec;
class CodecFactory;
class ConnectionOwner;
class ControlGroup;
class ControlPeers;
class ControlProcess;
class ControlReplica;
class ControlService;
class ControlSubscription;
class ControlClients;
class DocumentFrameCache;
class EndpointCache;
class EndpointCodec;
class EndpointConnection;
class EndpointStatusClient;
class EntryHostPublisher;
class ForwardedCalls;
class MetricText;
class PooledCallerConnection;
class PooledEntryNode;
class PooledControlNode;
class PrimaryPositionClient;
class ReadinessServer;
class StatusCollector;
class StreamSocket;
struct CachedHosts;
struct CallerStartup;
struct CallerTermination;
struct ControlMetricsInput;
struct ControlNodeSettings;
struct ControlTiming;
struct ControlClient;
struct CommittedDocument;

} // namespace hyssoprock
