#include <hyssoprock/daemon/entry/entry_node.hpp>

#include <utility>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

void EntryNode::startMembership(const SocketAddress &address)
{
    HostRecord self;
    self.host = settings_.host.name;
    self.dataCentre = settings_.host.dataCentre;
    self.address = toString(address);
    self.incarnation = incarnation_;
    std::vector<SeedHost> seeds;
    for (const auto &text : settings_.control.peers) {
        const auto peer = parseNamedAddress(text).value();
        if (peer.name != self.host) {
            seeds.push_back(SeedHost{peer.name, toString(peer.address)});
        }
    }
    membership_ = std::make_unique<MembershipNode>(std::move(self), seeds, settings_.membership,
                                                   random_.next(), monotonicNow());
    membershipTimer_.set(membership_->nextDeadline());
}

void EntryNode::handleDatagram(const SocketAddress &from, const Frame &frame)
{
    const auto event = parseDatagram(frame);
    if (event.has_error()) {
        metrics_.countRefusedMessage("datagram");
        writeLog(LogLevel::Debug, LogComponent::Member,
                 "refused a datagram of " + toString(from) + ": " + event.error().detail);
        return;
    }
    handleMembership(event.value());
}

Result<MembershipEvent> EntryNode::parseDatagram(const Frame &frame) const
{
    const auto message = [&]<class Message>(std::in_place_type_t<Message> /*type*/) {
        auto read = decodeMessage<Message>(frame);
        return read.has_error() ? Result<MembershipEvent>{read.as_failure()}
                                : Result<MembershipEvent>{MembershipEvent{
                                    membership::MessageReceived{std::move(read.value())}}};
    };
    if (holds<PeerPing>(frame)) {
        return message(std::in_place_type<PeerPing>);
    }
    if (holds<PeerPingRequest>(frame)) {
        return message(std::in_place_type<PeerPingRequest>);
    }
    if (holds<PeerAck>(frame)) {
        return message(std::in_place_type<PeerAck>);
    }
    auto announcement = decodeMessage<Announcement>(frame);
    if (announcement.has_error()) {
        return announcement.as_failure();
    }
    if (announcement.value().endpoint.empty() || announcement.value().group.empty()) {
        return failure(ErrorKind::InvalidValue, "an announcement contains no endpoint or group");
    }
    if (const auto address = parseAddress(announcement.value().address); address.has_error()) {
        return address.as_failure();
    }
    return MembershipEvent{membership::AnnouncementReceived{std::move(announcement.value())}};
}

void EntryNode::handleMembership(const MembershipEvent &event)
{
    for (const auto &action : membership_->handle(event, monotonicNow())) {
        std::visit([this](const auto &body) { execute(body); }, action);
    }
    membershipTimer_.set(membership_->nextDeadline());
}

void EntryNode::execute(const membership::SendDatagram &action)
{
    if (const auto address = parseAddress(action.address); address.has_value()) {
        std::visit([&](const auto &message) { datagrams_.send(address.value(), frameOf(message)); },
                   action.message);
    }
}

void EntryNode::execute(const membership::HostChanged &action)
{
    writeLog(LogLevel::Info, LogComponent::Member,
             "host " + action.record.host + " is " + std::string{toString(action.record.state)}
                 + " with incarnation " + std::to_string(action.record.incarnation));
}

void EntryNode::execute(const membership::EndpointAnnounced &action)
{
    writeLog(LogLevel::Info, LogComponent::Member,
             "endpoint " + action.announcement.endpoint + " of group " + action.announcement.group
                 + " announces itself at " + action.announcement.address);
    announcedAt_.erase(action.announcement.endpoint);
    control_.renewWithin(Duration::zero());
}

void EntryNode::execute(const membership::EndpointExpired &action)
{
    announcedAt_.erase(action.endpoint);
    writeLog(LogLevel::Info, LogComponent::Member,
             "endpoint " + action.endpoint + " has not announced itself for too long");
}

} // namespace hyssoprock
