#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the routing module.

namespace hyssoprock {

enum class AnswerVerdict : std::uint8_t;
enum class EndpointRole : std::uint8_t;
class AgeTracker;
class EndpointTable;
class Router;
class RoutingPolicy;
class ViewTable;
struct EndpointEntry;
struct EndpointReport;
struct PrimaryStatus;
struct ReadRequirements;
struct ReplicaCandidate;
struct RouterSettings;
struct RoutingDecision;
struct SchemaChoice;
struct ViewUpdate;

} // namespace hyssoprock
