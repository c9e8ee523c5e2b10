#pragma once

/// @file
/// @brief Forward declarations of the request module.

namespace hyssoprock {

class AckTracker;
class EndpointDialect;
class HostKnowledge;
class RequestMachine;
class SessionMachine;
struct EndpointAnswer;

} // namespace hyssoprock
