#include <hyssoprock/membership/membership_node.hpp>

#include <algorithm>
#include <bit>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Maximum number of hosts that this host notifies when it leaves. They disseminate the change.
constexpr std::size_t leaveMessageCountMax = 3;
// As for host records: enough for a change to reach every host despite lost messages.
constexpr std::size_t sendCountPerDoubling = 3;
// Maximum number of entries processed of a received list; no host sends longer lists.
constexpr std::size_t listLengthMax = 64;

} // namespace

MembershipNode::MembershipNode(HostRecord self, const std::vector<SeedHost> &seeds,
                               const MembershipSettings &settings, std::uint64_t seed, Instant now)
    : self_{std::move(self)}
    , settings_{settings}
    , random_{seed}
    , members_{settings.suspicion, settings.forget}
    , announcements_{settings.announcementTtl}
    , now_{now}
    , nextProbe_{now}
{
    self_.state = HostState::Alive;
    // Incarnation 0 means that only the address of a host is known.
    self_.incarnation = std::max<std::uint64_t>(self_.incarnation, 1);
    for (const auto &known : seeds) {
        if (known.host != self_.host) {
            members_.addSeed(known.host, known.address, now);
        }
    }
}

MembershipActions MembershipNode::handle(const MembershipEvent &event, Instant now)
{
    check(now >= now_, "time does not decrease");
    now_ = now;
    actions_.clear();
    if (!hasLeft_) {
        std::visit([this](const auto &known) { on(known); }, event);
    }
    return std::exchange(actions_, {});
}

std::optional<Instant> MembershipNode::nextDeadline() const
{
    if (hasLeft_) {
        return std::nullopt;
    }
    auto next = nextProbe_;
    if (probe_ && !probe_->acknowledged && !probe_->indirectProbesRequested) {
        next = std::min(next, probe_->indirectProbesAt);
    }
    next = std::min(next, members_.nextExpiry().value_or(next));
    return std::min(next, announcements_.nextExpiry().value_or(next));
}

bool MembershipNode::isForwarder() const
{
    const auto records = members_.records();
    return std::none_of(records.begin(), records.end(), [this](const HostRecord &record) {
        return record.dataCentre == self_.dataCentre && record.state == HostState::Alive
               && record.host < self_.host;
    });
}

void MembershipNode::on(const membership::Tick & /*event*/)
{
    expire();
    if (probe_ && !probe_->acknowledged && !probe_->indirectProbesRequested
        && now_ >= probe_->indirectProbesAt) {
        requestIndirectProbes();
    }
    if (now_ >= nextProbe_) {
        finishProbe();
        startProbe();
        nextProbe_ = now_ + settings_.probeInterval;
    }
}

void MembershipNode::on(const membership::MessageReceived &event)
{
    std::visit(
        [this](const auto &message) {
            if (!message.from.host.empty() && message.from.host != self_.host) {
                receive(message);
            }
        },
        event.message);
}

void MembershipNode::on(const membership::AnnouncementReceived &event)
{
    if (announcements_.add(event.announcement, now_)) {
        actions_.emplace_back(membership::EndpointAnnounced{event.announcement});
    }
}

void MembershipNode::on(const membership::Leave & /*event*/)
{
    ++self_.incarnation;
    self_.state = HostState::Left;
    auto hosts = members_.hostsInState(HostState::Alive);
    for (std::size_t sent = 0; sent < leaveMessageCountMax && !hosts.empty(); ++sent) {
        const auto index = random_.below(hosts.size());
        ping(hosts[index], nextSequence_++);
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(index));
    }
    hasLeft_ = true;
}

void MembershipNode::mergeRecord(const HostRecord &record)
{
    if (record.host.empty()) {
        return;
    }
    if (record.host != self_.host) {
        if (members_.merge(record, now_)) {
            actions_.emplace_back(membership::HostChanged{record});
        }
        return;
    }
    // Other hosts consider this host failed, or have a record from before its restart. Only a
    // higher incarnation replaces that record.
    if (record.incarnation > self_.incarnation
        || (record.incarnation == self_.incarnation && record.state != HostState::Alive)) {
        self_.incarnation = record.incarnation + 1;
    }
}

void MembershipNode::mergeAll(const HostRecord &from, const std::vector<HostRecord> &records,
                              const std::vector<SharedAnnouncement> &announcements)
{
    mergeRecord(from);
    for (std::size_t i = 0; i < std::min(records.size(), listLengthMax); ++i) {
        mergeRecord(records[i]);
    }
    if (from.dataCentre != self_.dataCentre) {
        return;
    }
    for (std::size_t i = 0; i < std::min(announcements.size(), listLengthMax); ++i) {
        if (announcements_.merge(announcements[i], now_)) {
            actions_.emplace_back(membership::EndpointAnnounced{announcements[i].announcement});
        }
    }
}

std::vector<HostRecord> MembershipNode::recordsFor(const std::string &host,
                                                   std::uint64_t incarnation)
{
    auto records = members_.selectForGossip(settings_.records);
    // A host that counts as failed, or is known from before a restart, needs the record to refute
    // it.
    if (const auto *known = members_.find(host);
        known != nullptr
        && (known->state != HostState::Alive || known->incarnation > incarnation)) {
        prependRecord(records, *known);
    }
    return records;
}

void MembershipNode::prependRecord(std::vector<HostRecord> &records, const HostRecord &record) const
{
    std::erase(records, record);
    records.insert(records.begin(), record);
    if (records.size() > settings_.records) {
        records.pop_back();
    }
}

std::vector<SharedAnnouncement> MembershipNode::announcementsFor(const std::string &host)
{
    const auto *known = members_.find(host);
    if (known == nullptr || known->dataCentre != self_.dataCentre) {
        return {};
    }
    return announcements_.selectForGossip(settings_.announcements, announcementSendCountMax(),
                                          now_);
}

std::vector<std::string> MembershipNode::hostsInSameDataCentre() const
{
    std::vector<std::string> names;
    for (const auto &record : members_.records()) {
        if (record.dataCentre == self_.dataCentre && record.state == HostState::Alive) {
            names.push_back(record.host);
        }
    }
    return names;
}

std::size_t MembershipNode::announcementSendCountMax() const
{
    return sendCountPerDoubling
           * static_cast<std::size_t>(std::bit_width(hostsInSameDataCentre().size() + 1));
}

void MembershipNode::expire()
{
    for (auto &record : members_.expire(now_)) {
        actions_.emplace_back(membership::HostChanged{std::move(record)});
    }
    for (auto &endpoint : announcements_.expire(now_)) {
        actions_.emplace_back(membership::EndpointExpired{std::move(endpoint)});
    }
    std::erase_if(relays_, [this](const auto &item) { return now_ >= item.second.deadline; });
}

void MembershipNode::send(const std::string &host, MembershipMessage message)
{
    if (const auto *known = members_.find(host); known != nullptr && !known->address.empty()) {
        actions_.emplace_back(membership::SendDatagram{known->address, std::move(message)});
    }
}

} // namespace hyssoprock
