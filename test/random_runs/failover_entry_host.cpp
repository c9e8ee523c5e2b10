#include "failover_entry_host.hpp"

#include <algorithm>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock::random_runs::failover {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t driftPerMille = 10;
constexpr Duration outcomeUnknownAfter = 2s;

} // namespace

FakeEntryHost::FakeEntryHost(World &world, std::size_t node, std::vector<std::string> controlHosts,
                             EndpointFinder find, RenewalSender sender, History &history)
    : world_{world}
    , node_{node}
    , controlHosts_{std::move(controlHosts)}
    , find_{std::move(find)}
    , send_{std::move(sender)}
    , history_{history}
{
    world_.every(5ms, [this] {
        if (alive() && now() >= nextRenewal_) {
            renew();
        }
    });
    world_.every(settings_.probeInterval, [this] { probe(); });
    world_.every(20ms, [this] { write(); });
    world_.every(10ms, [this] { poll(); });
}

void FakeEntryHost::renew()
{
    nextRenewal_ = now() + settings_.renewInterval;
    if (now() - lastAnswer_ > settings_.renewInterval + 100ms) {
        target_ = (target_ + 1) % controlHosts_.size();
        lastAnswer_ = now();
    }
    HostRenewRequest request;
    request.host = world_.nodes[node_].name;
    request.dataCentre = world_.nodes[node_].dataCentre;
    request.incarnation = world_.nodes[node_].incarnation;
    request.sequence = ++sequence_;
    request.viewVersion = viewVersion_;
    request.hostsDigest = hostsDigest_;
    for (const auto &[endpoint, answeredAt] : answered_) {
        const auto silent = now() - answeredAt;
        request.evidence.push_back({endpoint,
                                    silent < 2 * settings_.probeInterval,
                                    static_cast<std::uint64_t>(toMilliseconds(silent)),
                                    "",
                                    0,
                                    {}});
    }
    for (const auto &[name, announcement] : announcements_) {
        request.announcements.push_back(announcement);
    }
    for (const auto &[name, view] : views_) {
        if (view.state == GroupState::Handover && quiesced(name)) {
            request.quiesced.push_back(name);
        }
        for (const auto &member : view.members) {
            const auto &endpoint = member.announcement.endpoint;
            if (member.state != EndpointState::Draining || endpoint == view.primary) {
                drained_.erase(endpoint);
            } else if (drained_.contains(endpoint) || world_.random.chance(50)) {
                drained_.insert(endpoint);
                request.drained.push_back(endpoint);
            }
        }
    }
    sentAt_[sequence_] = now();
    send_(node_, target_, request);
}

bool FakeEntryHost::quiesced(const std::string &group) const
{
    return world_.time() >= stuckUntil
           && std::none_of(writes_.begin(), writes_.end(),
                           [&](const PendingWrite &write) { return write.group == group; });
}

void FakeEntryHost::receive(const HostRenewResponse &answer, std::uint64_t incarnation)
{
    const auto sent = sentAt_.find(answer.sequence);
    if (incarnation != world_.nodes[node_].incarnation || sent == sentAt_.end()) {
        return;
    }
    if (answer.kind != ErrorKind::None) {
        const auto hint = std::find(controlHosts_.begin(), controlHosts_.end(), answer.leader);
        target_ = hint == controlHosts_.end()
                      ? (target_ + 1) % controlHosts_.size()
                      : static_cast<std::size_t>(hint - controlHosts_.begin());
        lastAnswer_ = now();
        nextRenewal_ = std::min(nextRenewal_, now() + 50ms);
        return;
    }
    lastAnswer_ = now();
    applyViews(answer.views, answer.viewVersion);
    const auto lease = std::chrono::milliseconds{static_cast<std::int64_t>(answer.leaseMs)};
    leaseEnd_ = std::max(leaseEnd_, sent->second + shortenedByDrift(lease, driftPerMille));
    if (!answer.hosts.empty()) {
        hosts_.clear();
        for (const auto &text : answer.hosts) {
            hosts_.push_back(parseHostLocation(text));
        }
        hostsDigest_ = computeNameDigest(answer.hosts);
    }
    sentAt_.erase(sentAt_.begin(), std::next(sent));
    acknowledge();
}

void FakeEntryHost::receive(const ViewPush &push, std::uint64_t incarnation)
{
    if (incarnation == world_.nodes[node_].incarnation && push.previousVersion == viewVersion_) {
        applyViews(push.views, push.viewVersion);
    }
}

void FakeEntryHost::receive(const Announcement &announcement)
{
    if (alive()) {
        announcements_[announcement.endpoint] = announcement;
    }
}

void FakeEntryHost::applyViews(const std::vector<GroupView> &views, std::uint64_t version)
{
    for (const auto &view : views) {
        if (auto &known = views_[view.group]; known.version < view.version) {
            known = view;
        }
    }
    if (version > viewVersion_) {
        viewVersion_ = version;
        nextRenewal_ = now(); // confirms the view
    }
}

void FakeEntryHost::ask(const std::string &endpoint,
                        const std::function<void(const EndpointCallResponse &)> &takeReport)
{
    auto *target = find_(endpoint);
    const auto incarnation = world_.nodes[node_].incarnation;
    world_.send(node_, target->node(), [this, target, takeReport, incarnation] {
        const auto report = target->status();
        world_.send(target->node(), node_, [this, report, takeReport, incarnation] {
            if (incarnation == world_.nodes[node_].incarnation) {
                takeReport(report);
            }
        });
    });
}

void FakeEntryHost::probe()
{
    if (!alive()) {
        return;
    }
    const auto &self = world_.nodes[node_].name;
    for (const auto &[group, view] : views_) {
        for (const auto &member : view.members) {
            const auto &endpoint = member.announcement.endpoint;
            if (!isObserver(self, endpoint, hosts_, settings_.observers)) {
                answered_.erase(endpoint);
                continue;
            }
            answered_.try_emplace(endpoint, now());
            const auto sent = world_.time();
            ask(endpoint, [this, endpoint, sent](const EndpointCallResponse &) {
                const auto found = answered_.find(endpoint);
                if (found != answered_.end() && world_.time() - sent < settings_.callTimeout) {
                    found->second = now();
                }
            });
        }
    }
}

void FakeEntryHost::write()
{
    if (!alive() || !leaseValid()) {
        return;
    }
    for (const auto &[group, view] : views_) {
        if (view.state != GroupState::Active || world_.random.chance(50)) {
            continue;
        }
        PendingWrite write;
        write.id = history_.nextId();
        write.group = group;
        write.endpoint = view.primary;
        write.term = view.term;
        write.sentAt = world_.time();
        write.byPrimary = world_.random.chance(50);
        writes_.push_back(write);
        auto *target = find_(view.primary);
        world_.send(node_, target->node(), [this, target, id = write.id] {
            const auto position = target->write(id);
            world_.send(target->node(), node_, [this, position, id] {
                const auto found =
                    std::find_if(writes_.begin(), writes_.end(),
                                 [&](const PendingWrite &other) { return other.id == id; });
                if (found == writes_.end()) {
                    return;
                }
                if (position.has_error() || position.value().term != found->term) {
                    writes_.erase(found);
                } else if (!found->position) {
                    found->position = position.value();
                }
            });
        });
    }
}

void FakeEntryHost::poll()
{
    if (!alive()) {
        return;
    }
    for (const auto &[endpoint, answeredAt] : answered_) {
        if (now() - answeredAt < settings_.evidence) {
            reportedSilent_.erase(endpoint);
        } else if (reportedSilent_.insert(endpoint).second) {
            nextRenewal_ = now();
        }
    }
    std::erase_if(writes_, [&](const PendingWrite &write) {
        return world_.time() - write.sentAt > outcomeUnknownAfter;
    });
    std::set<std::string> endpoints;
    for (const auto &write : writes_) {
        for (const auto &member : views_[write.group].members) {
            if (member.voter) {
                endpoints.insert(member.announcement.endpoint);
            }
        }
    }
    for (const auto &endpoint : endpoints) {
        ask(endpoint,
            [this, endpoint](const EndpointCallResponse &report) { take(report, endpoint); });
    }
    const bool handover = std::any_of(views_.begin(), views_.end(), [](const auto &entry) {
        return entry.second.state == GroupState::Handover;
    });
    if (handover && hadWrites_ && writes_.empty()) {
        nextRenewal_ = now(); // reports that it is quiesced
    }
    hadWrites_ = !writes_.empty();
}

void FakeEntryHost::take(const EndpointCallResponse &report, const std::string &endpoint)
{
    auto &known = known_[endpoint];
    // Answers may overtake each other; an older one must not hide a newer position.
    if (report.incarnation < known.incarnation
        || (report.incarnation == known.incarnation && report.term < known.term)) {
        return;
    }
    known = report;
    acknowledge();
}

bool FakeEntryHost::majorityHolds(const GroupView &view, const PendingWrite &write) const
{
    if (write.byPrimary) {
        const auto found = known_.find(write.endpoint);
        return found != known_.end() && found->second.role == "primary"
               && found->second.term == write.term
               && found->second.majorityIndex >= write.position->index;
    }
    std::size_t voters = 0;
    std::size_t holders = 0;
    for (const auto &member : view.members) {
        const auto found = known_.find(member.announcement.endpoint);
        voters += member.voter ? 1 : 0;
        holders += member.voter && found != known_.end() && found->second.term == write.term
                           && found->second.position >= *write.position
                       ? 1
                       : 0;
    }
    return holders > voters / 2;
}

void FakeEntryHost::acknowledge()
{
    std::erase_if(writes_, [&](const PendingWrite &write) {
        const auto &view = views_[write.group];
        const bool usable = view.state == GroupState::Active || view.state == GroupState::Handover;
        if (!write.position || !leaseValid() || !usable || view.term != write.term
            || !majorityHolds(view, write)) {
            return false;
        }
        history_.acknowledged(write.group, {write.id, *write.position, world_.time()});
        return true;
    });
}

void FakeEntryHost::crash()
{
    world_.nodes[node_].alive = false;
}

void FakeEntryHost::restart()
{
    auto &node = world_.nodes[node_];
    node.alive = true;
    ++node.incarnation;
    sequence_ = 0;
    sentAt_.clear();
    leaseEnd_ = {};
    lastAnswer_ = now();
    nextRenewal_ = now();
    viewVersion_ = 0;
    views_.clear();
    hosts_.clear();
    hostsDigest_ = 0;
    answered_.clear();
    drained_.clear();
    reportedSilent_.clear();
    announcements_.clear();
    known_.clear();
    writes_.clear();
}

} // namespace hyssoprock::random_runs::failover
