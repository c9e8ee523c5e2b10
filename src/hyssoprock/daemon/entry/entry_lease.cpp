#include <hyssoprock/daemon/entry/entry_node.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/failover/observers.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Interval of announcements to the leader for an endpoint that is in no view, for example because
// its group is not declared yet.
constexpr Duration announcementInterval = std::chrono::seconds{1};

PgTarget targetOf(const Announcement &announcement, const char *applicationName)
{
    PgTarget target;
    target.address = parseAddress(announcement.address).value();
    target.database = announcement.group;
    target.user = "hyssoprock";
    target.applicationName = applicationName;
    return target;
}

} // namespace

HostRenewRequest EntryNode::composeRenewal()
{
    const auto now = monotonicNow();
    HostRenewRequest request;
    request.host = settings_.host.name;
    request.dataCentre = settings_.host.dataCentre;
    request.incarnation = incarnation_;
    request.viewVersion = tables_.views.viewVersion();
    const auto configuration = tables_.views.configuration();
    request.configRevision = configuration ? configuration->revision : 0;
    request.hostsDigest = tables_.views.hostsDigest();
    for (const auto &[endpoint, prober] : probers_) {
        request.evidence.push_back(prober->evidence());
    }
    request.announcements = dueAnnouncements(now);
    for (const auto &[endpoint, pool] : pools_) {
        if (isInUse(endpoint)) {
            request.demand.push_back(pool->demand());
        }
    }
    reportedQuiesced_ = quiescedGroups();
    request.quiesced.assign(reportedQuiesced_.begin(), reportedQuiesced_.end());
    for (const auto &[endpoint, pool] : pools_) {
        if (members_.at(endpoint).state != EndpointState::Active && pool->heldCount() == 0) {
            request.drained.push_back(endpoint);
        }
    }
    reportedDrained_ = {request.drained.begin(), request.drained.end()};
    tables_.views.recordRenewalSent(control_.nextSequence(), now);
    return request;
}

std::vector<Announcement> EntryNode::dueAnnouncements(Instant now)
{
    std::vector<Announcement> due;
    if (!membership_->isForwarder()) {
        return due;
    }
    for (auto &announcement : membership_->announcements()) {
        const auto member = members_.find(announcement.endpoint);
        if (member != members_.end() && member->second.announcement == announcement) {
            continue;
        }
        auto &last = announcedAt_[announcement.endpoint];
        if (now - last >= announcementInterval) {
            last = now;
            due.push_back(std::move(announcement));
        }
    }
    return due;
}

std::set<std::string> EntryNode::quiescedGroups() const
{
    std::set<std::string> quiesced;
    for (const auto &group : tables_.views.groups()) {
        if (tables_.isQuiesced(group)) {
            quiesced.insert(group);
        }
    }
    return quiesced;
}

void EntryNode::handleRenewal(const HostRenewResponse &response)
{
    const auto update = tables_.views.apply(response);
    if (!update.accepted) {
        return;
    }
    if (const auto until = tables_.views.leaseUntil()) {
        ledger_.apply(response.grants, *until);
    }
    applyUpdate(update);
    for (const auto &[endpoint, pool] : pools_) {
        if (isInUse(endpoint)) {
            pool->budgetChanged();
        }
    }
}

void EntryNode::handleViewPush(const ViewPush &push)
{
    const auto update = tables_.views.apply(push);
    if (update.accepted) {
        applyUpdate(update);
    } else if (update.renewalRequired) {
        control_.renewWithin(Duration::zero());
    }
}

void EntryNode::applyUpdate(const ViewUpdate &update)
{
    for (const auto &group : update.groups) {
        const auto *view = tables_.views.view(group);
        writeLog(LogLevel::Info, LogComponent::Config,
                 "group " + group + " is " + std::string{toString(view->state)} + " in term "
                     + std::to_string(view->term) + ", primary "
                     + (view->primary.empty() ? "none" : view->primary));
    }
    if (update.configurationChanged) {
        const auto revision = tables_.views.configuration()->revision;
        metrics_.setConfigRevision(revision);
        writeLog(LogLevel::Info, LogComponent::Config,
                 "configuration revision " + std::to_string(revision) + " is in force");
    }
    if (!update.groups.empty() || update.configurationChanged) {
        // Confirms the view; a failover waits for the confirmation.
        control_.renewWithin(Duration::zero());
    }
    if (!update.groups.empty()) {
        updateEndpoints();
    }
    if (!update.groups.empty() || observerHosts_ != tables_.views.hosts()) {
        updateProbers();
    }
    std::vector<std::shared_ptr<CallerConnection>> affected;
    for (const auto &[session, caller] : callers_) {
        if (caller->isAffectedByViews()) {
            affected.push_back(caller);
        }
    }
    for (const auto &caller : affected) {
        caller->handle(ViewChanged{});
    }
    tablesChanged();
}

void EntryNode::updateEndpoints()
{
    members_.clear();
    for (const auto &group : tables_.views.groups()) {
        for (const auto &member : tables_.views.view(group)->members) {
            if (parseAddress(member.announcement.address).has_value()) {
                members_[member.announcement.endpoint] = member;
            }
        }
    }
    const Error moved{ErrorKind::Unreachable, "the endpoint has left or has moved"};
    std::erase_if(pools_, [&](const auto &entry) {
        const bool gone = !members_.contains(entry.first);
        if (gone) {
            entry.second->refuseAll(moved);
        }
        return gone;
    });
    for (const auto &[endpoint, member] : members_) {
        if (member.announcement.dataCentre == settings_.host.dataCentre) {
            ledger_.setLocalShare(endpoint,
                                  static_cast<std::uint32_t>(settings_.limits.localConnections));
        }
        auto &pool = pools_[endpoint];
        auto target = targetOf(member.announcement, "hyssoprock-entry");
        const bool restarted = incarnations_[endpoint] != member.announcement.incarnation;
        if (!pool || restarted || pool->target().address != target.address) {
            if (pool) {
                pool->refuseAll(moved);
            }
            pool = std::make_shared<EndpointPool>(context_, endpoint, std::move(target), settings_,
                                                  ledger_, metrics_, poolHandlers_);
        }
        if (restarted) {
            tables_.endpoints.forgetPosition(endpoint);
            incarnations_[endpoint] = member.announcement.incarnation;
        }
    }
}

void EntryNode::updateProbers()
{
    observerHosts_ = tables_.views.hosts();
    std::vector<HostLocation> hosts;
    for (const auto &place : observerHosts_) {
        hosts.push_back(parseHostLocation(place));
    }
    const auto observes = [&](const std::string &endpoint) {
        const auto member = members_.find(endpoint);
        return member != members_.end() && member->second.state != EndpointState::Stopped
               && isObserver(settings_.host.name, endpoint, hosts, settings_.lease.observers);
    };
    std::erase_if(probers_, [&](const auto &entry) {
        return !observes(entry.first)
               || toString(entry.second->address())
                      != members_.at(entry.first).announcement.address;
    });
    for (const auto &[endpoint, member] : members_) {
        if (probers_.contains(endpoint) || !observes(endpoint)) {
            continue;
        }
        EndpointProber::Handlers handlers;
        handlers.answered = [this, group = member.announcement.group,
                             name = endpoint](const EndpointReport &report, Instant sent) {
            recordReport(group, name, report, sent, tables_.views.leaseValid(sent));
        };
        handlers.silent = [this, name = endpoint]() {
            writeLog(LogLevel::Warning, LogComponent::Endpoint,
                     "endpoint " + name + " does not answer probes");
            control_.renewWithin(Duration::zero());
        };
        probers_.emplace(endpoint, std::make_unique<EndpointProber>(
                                       context_, endpoint,
                                       targetOf(member.announcement, "hyssoprock-observer"),
                                       settings_.lease, std::move(handlers)));
    }
}

void EntryNode::reportQuiesced()
{
    const auto now = quiescedGroups();
    const bool newGroup =
        !std::includes(reportedQuiesced_.begin(), reportedQuiesced_.end(), now.begin(), now.end());
    if (newGroup) {
        reportedQuiesced_ = now;
        control_.renewWithin(Duration::zero());
    }
}

} // namespace hyssoprock
