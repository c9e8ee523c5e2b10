#pragma once

/// @file
/// @brief Forward declarations of the controlgroup module.

namespace hyssoprock {

class GroupMembership;
struct ControlGroupView;
struct GroupMemberSettings;
struct MembershipActions;

} // namespace hyssoprock
