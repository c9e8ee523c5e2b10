#pragma once

/// @file
/// @brief Forward declarations of the failover module.

namespace hyssoprock {

class Coordinator;
class HostLeaseTable;
class EvidenceTable;
class EndpointProbeTable;
class Outbox;
class PrimaryElection;
class Handover;
class MemberRepair;
class GroupController;
struct CoordinatorSettings;
struct EndpointCallAnswer;
struct FailoverReport;
struct HostPlace;

} // namespace hyssoprock
