#include <hyssoprock/membership/membership_node.hpp>

#include <algorithm>
#include <bit>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Hosts that are told directly when this host leaves; they spread it.
constexpr std::size_t farewells = 3;
// As for host records: enough for a change to reach every host in spite of losses.
constexpr std::size_t sendsPerDoubling = 3;
// Longer lists than any host sends are not read to their end.
constexpr std::size_t acceptedListLength = 64;

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
    // Incarnation 0 stands for a host of which only the address is known.
    self_.incarnation = std::max<std::uint64_t>(self_.incarnation, 1);
    for (const auto &known : seeds) {
        if (known.host != self_.host) {
            members_.addSeed(known.host, known.address, now);
        }
    }
}

MembershipActions MembershipNode::handle(const MembershipEvent &event, Instant now)
{
    check(now >= now_, "time does not run backwards");
    now_ = now;
    actions_.clear();
    if (!left_) {
        std::visit([this](const auto &known) { on(known); }, event);
    }
    return std::exchange(actions_, {});
}

std::optional<Instant> MembershipNode::nextDeadline() const
{
    if (left_) {
        return std::nullopt;
    }
    auto next = nextProbe_;
    if (probe_ && !probe_->answered && !probe_->othersAsked) {
        next = std::min(next, probe_->askOthersAt);
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
    if (probe_ && !probe_->answered && !probe_->othersAsked && now_ >= probe_->askOthersAt) {
        askOthers();
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
    if (announcements_.take(event.announcement, now_)) {
        actions_.emplace_back(membership::EndpointAnnounced{event.announcement});
    }
}

void MembershipNode::on(const membership::Leave & /*event*/)
{
    ++self_.incarnation;
    self_.state = HostState::Left;
    auto hosts = members_.namesIn(HostState::Alive);
    for (std::size_t told = 0; told < farewells && !hosts.empty(); ++told) {
        const auto index = random_.below(hosts.size());
        ping(hosts[index], nextSequence_++);
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(index));
    }
    left_ = true;
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
    // Others take this host for failed, or still know it from before a restart: only a higher
    // incarnation makes them change their mind.
    if (record.incarnation > self_.incarnation
        || (record.incarnation == self_.incarnation && record.state != HostState::Alive)) {
        self_.incarnation = record.incarnation + 1;
    }
}

void MembershipNode::mergeAll(const HostRecord &from, const std::vector<HostRecord> &records,
                              const std::vector<SharedAnnouncement> &announcements)
{
    mergeRecord(from);
    for (std::size_t i = 0; i < std::min(records.size(), acceptedListLength); ++i) {
        mergeRecord(records[i]);
    }
    if (from.dataCentre != self_.dataCentre) {
        return;
    }
    for (std::size_t i = 0; i < std::min(announcements.size(), acceptedListLength); ++i) {
        if (announcements_.merge(announcements[i], now_)) {
            actions_.emplace_back(membership::EndpointAnnounced{announcements[i].announcement});
        }
    }
}

std::vector<HostRecord> MembershipNode::recordsFor(const std::string &host,
                                                   std::uint64_t incarnation)
{
    auto records = members_.choose(settings_.records);
    // A host that counts as failed, or is known from before a restart, must hear of it to refute.
    if (const auto *known = members_.find(host);
        known != nullptr
        && (known->state != HostState::Alive || known->incarnation > incarnation)) {
        putFirst(records, *known);
    }
    return records;
}

void MembershipNode::putFirst(std::vector<HostRecord> &records, const HostRecord &record) const
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
    return announcements_.choose(settings_.announcements, announcementSends(), now_);
}

std::vector<std::string> MembershipNode::neighbours() const
{
    std::vector<std::string> names;
    for (const auto &record : members_.records()) {
        if (record.dataCentre == self_.dataCentre && record.state == HostState::Alive) {
            names.push_back(record.host);
        }
    }
    return names;
}

std::size_t MembershipNode::announcementSends() const
{
    return sendsPerDoubling * static_cast<std::size_t>(std::bit_width(neighbours().size() + 1));
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
