#pragma once

/// @file
/// @brief Forward declarations of the controlgroup module.

namespace hyssoprock {

class GroupMembership;
class ProvisionalVersion;
struct ControlGroupStatus;
struct GroupMembershipSettings;
struct MembershipActions;

} // namespace hyssoprock
