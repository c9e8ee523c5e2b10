#include <algorithm>
#include <utility>

#include <hyssoprock/membership/membership_node.hpp>

namespace hyssoprock {

namespace {

// Hosts that are gone are probed now and then: after a partition, both sides take each other for
// dead, and nobody else would bring them together. A host that has left may be back, and be the
// only one that a restarted host knows.
constexpr std::uint64_t goneProbePercent = 20;
// Bounds the memory that requests of others can take up.
constexpr std::size_t relaysMost = 256;

} // namespace

void MembershipNode::startProbe()
{
    probeGone();
    passAnnouncementsOn();
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    probe_ = Probe{*target, nextSequence_++, now_ + settings_.probeTimeout, false, false};
    ping(*target, probe_->sequence);
}

std::optional<std::string> MembershipNode::nextTarget()
{
    // Each host comes once in a round, in random order, which bounds the time until a failure is
    // noticed.
    for (int round = 0; round < 2; ++round) {
        while (!order_.empty()) {
            auto host = std::move(order_.back());
            order_.pop_back();
            const auto *record = members_.find(host);
            if (record != nullptr && record->state <= HostState::Suspect) {
                return host;
            }
        }
        order_ = members_.namesIn(HostState::Alive);
        const auto suspects = members_.namesIn(HostState::Suspect);
        order_.insert(order_.end(), suspects.begin(), suspects.end());
        for (std::size_t i = order_.size(); i > 1; --i) {
            std::swap(order_[i - 1], order_[random_.below(i)]);
        }
    }
    return std::nullopt;
}

void MembershipNode::probeGone()
{
    auto gone = members_.namesIn(HostState::Dead);
    const auto left = members_.namesIn(HostState::Left);
    gone.insert(gone.end(), left.begin(), left.end());
    const auto alone = members_.namesIn(HostState::Alive).empty();
    if (!gone.empty() && (alone || random_.chance(goneProbePercent))) {
        ping(gone[random_.below(gone.size())], nextSequence_++);
    }
}

void MembershipNode::passAnnouncementsOn()
{
    // Probes alone would be too slow where only few of the hosts are in this data centre.
    const auto hosts = neighbours();
    if (!hosts.empty() && announcements_.anyToPassOn(announcementSends())) {
        ping(hosts[random_.below(hosts.size())], nextSequence_++);
    }
}

void MembershipNode::ping(const std::string &host, std::uint64_t sequence)
{
    const auto *known = members_.find(host);
    const auto incarnation = known == nullptr ? 0 : known->incarnation;
    send(host, PeerPing{self_, sequence, recordsFor(host, incarnation), announcementsFor(host)});
}

void MembershipNode::askOthers()
{
    probe_->othersAsked = true;
    auto helpers = members_.namesIn(HostState::Alive);
    std::erase(helpers, probe_->target);
    for (std::uint64_t asked = 0; asked < settings_.indirectProbes && !helpers.empty(); ++asked) {
        const auto index = random_.below(helpers.size());
        send(helpers[index], PeerPingRequest{self_, probe_->target, probe_->sequence});
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void MembershipNode::finishProbe()
{
    if (!probe_) {
        return;
    }
    const auto probe = *std::exchange(probe_, std::nullopt);
    const auto *record = members_.find(probe.target);
    if (probe.answered || record == nullptr || record->state != HostState::Alive) {
        return;
    }
    auto suspected = *record;
    suspected.state = HostState::Suspect;
    mergeRecord(suspected);
}

void MembershipNode::receive(const PeerPing &ping)
{
    mergeAll(ping.from, ping.records, ping.announcements);
    send(ping.from.host, PeerAck{self_, self_.host, ping.sequence,
                                 recordsFor(ping.from.host, ping.from.incarnation),
                                 announcementsFor(ping.from.host)});
}

void MembershipNode::receive(const PeerPingRequest &request)
{
    mergeRecord(request.from);
    if (members_.find(request.target) == nullptr || relays_.size() >= relaysMost) {
        return;
    }
    const auto sequence = nextSequence_++;
    relays_.emplace(sequence, Relay{request.from.host, request.sequence, request.target,
                                    now_ + settings_.probeInterval});
    ping(request.target, sequence);
}

void MembershipNode::receive(const PeerAck &ack)
{
    mergeAll(ack.from, ack.records, ack.announcements);
    if (probe_ && probe_->sequence == ack.sequence && probe_->target == ack.target) {
        probe_->answered = true;
    }
    const auto relay = relays_.find(ack.sequence);
    if (relay == relays_.end() || ack.from.host != relay->second.target
        || ack.target != relay->second.target) {
        return;
    }
    const auto done = relay->second;
    relays_.erase(relay);
    // The answer may hold a refutation that the requester should see first.
    auto records = members_.choose(settings_.records);
    putFirst(records, ack.from);
    send(done.requester, PeerAck{self_, done.target, done.sequence, std::move(records),
                                 announcementsFor(done.requester)});
}

} // namespace hyssoprock
