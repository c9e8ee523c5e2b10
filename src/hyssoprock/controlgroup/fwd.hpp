#pragma once

/// @file
/// @brief Forward declarations of the controlgroup module.

namespace hyssoprock {

class GroupMembership;
class ProvisionalVersion;
struct ControlGroupView;
struct GroupMemberSettings;
struct MembershipActions;

} // namespace hyssoprock
