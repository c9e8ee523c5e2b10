#pragma once

#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/message/membership.hpp>

/// @file
/// @brief Events and actions of a MembershipNode.

namespace hyssoprock {

/// @brief Datagram between entry hosts.
using MembershipMessage = std::variant<PeerPing, PeerPingRequest, PeerAck>;

namespace membership {

/// @brief Passage of time; due at MembershipNode::nextDeadline() at the latest.
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

/// @brief This host is being stopped and leaves the membership.
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
    HostRecord record; ///< Its current record.
};

/// @brief An endpoint of this data centre is new, was restarted or has changed.
struct EndpointAnnounced
{
    Announcement announcement; ///< Its newest announcement.
};

/// @brief The announcement of an endpoint of this data centre has expired.
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
