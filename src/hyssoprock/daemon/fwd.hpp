#pragma once

/// @file
/// @brief Forward declarations of the daemon module.

namespace hyssoprock {

class ControlNode;
class DeadlineTimer;
class EndpointCaller;
class EntryNode;
class Metrics;

} // namespace hyssoprock
