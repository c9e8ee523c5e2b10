#pragma once

/// @file
/// @brief Forward declarations of the membership module.

namespace hyssoprock {

class AnnouncementTable;
class MemberTable;
class MembershipNode;

} // namespace hyssoprock
