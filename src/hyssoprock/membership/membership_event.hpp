#pragma once

#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/message/membership.hpp>

/// @file
/// @brief Events and actions of a MembershipNode.

namespace hyssoprock {

/// @brief Every datagram between entry hosts.
using MembershipMessage = std::variant<PeerPing, PeerPingRequest, PeerAck>;

namespace membership {

/// @brief Time has passed; due at MembershipNode::nextDeadline() at the latest.
struct Tick
{};

/// @brief A datagram from another entry host.
struct MessageReceived
{
    MembershipMessage message; ///< The message.
};

/// @brief An endpoint has announced itself to this host.
struct AnnouncementReceived
{
    Announcement announcement; ///< The announcement.
};

/// @brief This host is being stopped. It takes no further part.
struct Leave
{};

/// @brief Send a datagram. Loss, duplication and reordering are tolerated.
struct SendDatagram
{
    std::string address;       ///< IP number and port.
    MembershipMessage message; ///< The message.
};

/// @brief The state or incarnation of another host has changed.
struct HostChanged
{
    HostRecord record; ///< Its present record.
};

/// @brief An endpoint of this data centre is new, has restarted or has changed.
struct EndpointAnnounced
{
    Announcement announcement; ///< Its newest announcement.
};

/// @brief An endpoint of this data centre has not announced itself for too long.
struct EndpointExpired
{
    std::string endpoint; ///< Name.
};

} // namespace membership

/// @brief Event of a MembershipNode.
using MembershipEvent = std::variant<membership::Tick, membership::MessageReceived,
                                     membership::AnnouncementReceived, membership::Leave>;

/// @brief Action of a MembershipNode.
using MembershipAction = std::variant<membership::SendDatagram, membership::HostChanged,
                                      membership::EndpointAnnounced, membership::EndpointExpired>;

/// @brief Actions in the order in which they must be carried out.
using MembershipActions = std::vector<MembershipAction>;

} // namespace hyssoprock
