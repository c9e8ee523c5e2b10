#pragma once

/// @file
/// @brief Forward declarations of the pooler module.

namespace hyssoprock {

class CallerCodec;
class CodecFactory;
class ConnectionHost;
class ControlGroup;
class ControlPeers;
class ControlProcess;
class ControlReplica;
class ControlService;
class ControlSubscription;
class ControlVisitors;
class DocumentFrames;
class EndpointCache;
class EndpointCodec;
class EndpointConnection;
class EndpointStatusClient;
class EntryHostFeed;
class ForwardedCalls;
class MetricText;
class PooledCaller;
class PooledEntryNode;
class PoolerControlNode;
class ReadyProbe;
class StatusCollector;
class StreamSocket;
struct CachedHosts;
struct CallerStartup;
struct CallerTermination;
struct ControlMetricsInput;
struct ControlNodeSettings;
struct ControlTiming;
struct ControlVisitor;
struct KnownDocument;

} // namespace hyssoprock
