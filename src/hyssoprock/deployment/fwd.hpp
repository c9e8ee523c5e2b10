#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the deployment module.

namespace hyssoprock {

enum class Proximity : std::uint8_t;
enum class ReadConsistency : std::uint8_t;
class ControlState;
class DocumentArchive;
class RouteIndex;
class TeamIndex;
class Topology;
struct ControlResult;
struct DeploymentDocument;
struct Route;
struct Service;
struct ServiceMembers;
struct Team;

} // namespace hyssoprock
