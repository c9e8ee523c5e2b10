#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the deployment module.

namespace hyssoprock {

class ControlState;
class DocumentArchive;
class Topology;
enum class Proximity : std::uint8_t;
enum class ReadRule : std::uint8_t;
struct ControlResult;
struct DeploymentDocument;
struct Route;
struct Service;

} // namespace hyssoprock
