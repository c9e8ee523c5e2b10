#pragma once

/// @file
/// @brief Forward declarations of the membership module.

namespace hyssoprock {

class AnnouncementTable;
class MemberTable;
class MembershipNode;
struct SeedHost;

} // namespace hyssoprock

namespace hyssoprock::membership {

struct AnnouncementReceived;
struct EndpointAnnounced;
struct EndpointExpired;
struct HostChanged;
struct Leave;
struct MessageReceived;
struct SendDatagram;
struct Tick;

} // namespace hyssoprock::membership
