#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the daemon module.

namespace hyssoprock {

enum class LogComponent : std::uint8_t;
enum class LogLevel : std::uint8_t;
class AnswerWriter;
class CallerConnection;
class CallerHost;
class CallerStream;
class CatalogReplica;
class ControlLink;
class ControlNode;
class DeadlineTimer;
class EndpointPool;
class EndpointProber;
class EntryNode;
class JsonObject;
class Metrics;
class OperatorClient;
class StatusConnection;
struct EntryAddresses;
struct PoolHandlers;
struct PoolRequest;
struct HeldConnection;
struct RevisionProgress;

template <class... Functions>
struct Overloaded;

} // namespace hyssoprock
