#pragma once

/// @file
/// @brief Forward declarations of the failover module.

namespace hyssoprock {

class Coordinator;
class BudgetPlanner;
class HostLeaseTable;
class EvidenceTable;
class EndpointTable;
class Outbox;
class PrimaryElection;
class Handover;
class MemberRepair;
class GroupController;
struct CoordinatorSettings;
struct EndpointReport;
struct FailoverReport;
struct HostPlace;

} // namespace hyssoprock
