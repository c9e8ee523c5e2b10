#pragma once

/// @file
/// @brief Forward declarations of the routing module.

namespace hyssoprock {

struct EndpointReport;
struct EndpointKnowledge;
struct ReadRequirements;
struct RoutingDecision;
class EndpointTable;
class AgeTracker;
class ViewTable;
class Router;

} // namespace hyssoprock
