#include <algorithm>
#include <utility>

#include <hyssoprock/membership/membership_node.hpp>

namespace hyssoprock {

namespace {

// Probability per interval of probing a host that is dead or has left. After a partition, each side
// considers the other dead, and only such probes reunite them. A host that has left may be back and
// be the only one that a restarted host knows.
constexpr std::uint64_t deadHostProbePercent = 20;
// Limits the memory used for probe requests of other hosts.
constexpr std::size_t relayCountMax = 256;

} // namespace

void MembershipNode::startProbe()
{
    probeDeadHosts();
    gossipAnnouncements();
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    probe_ = Probe{*target, nextSequence_++, now_ + settings_.probeTimeout, false, false};
    ping(*target, probe_->sequence);
}

std::optional<std::string> MembershipNode::nextTarget()
{
    // Each host is probed once per round, in random order, which bounds the time until a failure is
    // detected.
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            auto host = std::move(probeOrder_.back());
            probeOrder_.pop_back();
            const auto *record = members_.find(host);
            if (record != nullptr && record->state <= HostState::Suspect) {
                return host;
            }
        }
        probeOrder_ = members_.hostsInState(HostState::Alive);
        const auto suspects = members_.hostsInState(HostState::Suspect);
        probeOrder_.insert(probeOrder_.end(), suspects.begin(), suspects.end());
        for (std::size_t i = probeOrder_.size(); i > 1; --i) {
            std::swap(probeOrder_[i - 1], probeOrder_[random_.below(i)]);
        }
    }
    return std::nullopt;
}

void MembershipNode::probeDeadHosts()
{
    auto dead = members_.hostsInState(HostState::Dead);
    const auto left = members_.hostsInState(HostState::Left);
    dead.insert(dead.end(), left.begin(), left.end());
    const auto alone = members_.hostsInState(HostState::Alive).empty();
    if (!dead.empty() && (alone || random_.chance(deadHostProbePercent))) {
        ping(dead[random_.below(dead.size())], nextSequence_++);
    }
}

void MembershipNode::gossipAnnouncements()
{
    // Probes alone would be too slow if only few of the hosts are in this data centre.
    const auto hosts = hostsInSameDataCentre();
    if (!hosts.empty() && announcements_.hasPendingGossip(announcementSendCountMax())) {
        ping(hosts[random_.below(hosts.size())], nextSequence_++);
    }
}

void MembershipNode::ping(const std::string &host, std::uint64_t sequence)
{
    const auto *known = members_.find(host);
    const auto incarnation = known == nullptr ? 0 : known->incarnation;
    send(host, PeerPing{self_, sequence, recordsFor(host, incarnation), announcementsFor(host)});
}

void MembershipNode::requestIndirectProbes()
{
    probe_->indirectProbesRequested = true;
    auto helpers = members_.hostsInState(HostState::Alive);
    std::erase(helpers, probe_->target);
    for (std::uint64_t requested = 0; requested < settings_.indirectProbes && !helpers.empty();
         ++requested) {
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
    if (probe.acknowledged || record == nullptr || record->state != HostState::Alive) {
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
    if (members_.find(request.target) == nullptr || relays_.size() >= relayCountMax) {
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
        probe_->acknowledged = true;
    }
    const auto relay = relays_.find(ack.sequence);
    if (relay == relays_.end() || ack.from.host != relay->second.target
        || ack.target != relay->second.target) {
        return;
    }
    const auto done = relay->second;
    relays_.erase(relay);
    // The response may contain a refutation, which must not be crowded out by other records.
    auto records = members_.selectForGossip(settings_.records);
    prependRecord(records, ack.from);
    send(done.requester, PeerAck{self_, done.target, done.sequence, std::move(records),
                                 announcementsFor(done.requester)});
}

} // namespace hyssoprock
