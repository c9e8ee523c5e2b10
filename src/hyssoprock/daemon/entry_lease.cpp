#include <hyssoprock/daemon/entry_node.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/failover/observers.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

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

HostRenewRequest EntryNode::compose()
{
    const auto now = monotonicNow();
    HostRenewRequest request;
    request.host = settings_.host.name;
    request.dataCentre = settings_.host.dataCentre;
    request.incarnation = incarnation_;
    request.viewVersion = knowledge_.views.viewVersion();
    const auto configuration = knowledge_.views.configuration();
    request.configRevision = configuration ? configuration->revision : 0;
    for (const auto &[endpoint, prober] : probers_) {
        request.evidence.push_back(prober->evidence());
    }
    reported_ = announcements_.due(now);
    request.announcements = reported_;
    for (const auto &[endpoint, pool] : pools_) {
        request.demand.push_back(pool->demand());
    }
    reportedQuiesced_ = quiesced();
    request.quiesced.assign(reportedQuiesced_.begin(), reportedQuiesced_.end());
    for (const auto &[endpoint, pool] : pools_) {
        const auto *member = findMember(endpoint);
        if (member != nullptr && member->state != EndpointState::Active && pool->held() == 0) {
            request.drained.push_back(endpoint);
        }
    }
    reportedDrained_ = {request.drained.begin(), request.drained.end()};
    knowledge_.views.renewalSent(control_.nextSequence(), now);
    return request;
}

const Member *EntryNode::findMember(const std::string &endpoint) const
{
    for (const auto &group : knowledge_.views.groups()) {
        const auto *view = knowledge_.views.view(group);
        for (const auto &member : view->members) {
            if (member.announcement.endpoint == endpoint) {
                return &member;
            }
        }
    }
    return nullptr;
}

std::set<std::string> EntryNode::quiesced() const
{
    std::set<std::string> quiesced;
    for (const auto &group : knowledge_.views.groups()) {
        if (knowledge_.quiesced(group)) {
            quiesced.insert(group);
        }
    }
    return quiesced;
}

void EntryNode::takeRenewal(const HostRenewResponse &response)
{
    const auto now = monotonicNow();
    const auto update = knowledge_.views.apply(response);
    if (!update.accepted) {
        return;
    }
    if (const auto until = knowledge_.views.leaseUntil()) {
        ledger_.apply(response.grants, *until);
    }
    apply(update);
    // The leader ignores endpoints of groups that are not declared yet; those stay due.
    std::erase_if(reported_, [this](const Announcement &announcement) {
        const auto *member = findMember(announcement.endpoint);
        return member == nullptr || member->announcement != announcement;
    });
    announcements_.confirmed(reported_, now);
    for (const auto &[endpoint, pool] : pools_) {
        pool->budgetChanged();
    }
}

void EntryNode::takePush(const ViewPush &push)
{
    const auto update = knowledge_.views.apply(push);
    if (update.accepted) {
        apply(update);
    } else if (update.renewNow) {
        control_.renewWithin(Duration::zero());
    }
}

void EntryNode::apply(const ViewUpdate &update)
{
    for (const auto &group : update.groups) {
        const auto *view = knowledge_.views.view(group);
        writeLog(LogLevel::Info, LogComponent::Config,
                 "group " + group + " is " + std::string{toString(view->state)} + " in term "
                     + std::to_string(view->term) + ", primary "
                     + (view->primary.empty() ? "none" : view->primary));
    }
    if (update.configurationChanged) {
        const auto revision = knowledge_.views.configuration()->revision;
        metrics_.setConfigRevision(revision);
        writeLog(LogLevel::Info, LogComponent::Config,
                 "configuration revision " + std::to_string(revision) + " is in force");
    }
    if (!update.groups.empty() || update.configurationChanged) {
        // Confirms the view, which a failover waits for.
        control_.renewWithin(Duration::zero());
    }
    updateEndpoints();
    std::vector<std::shared_ptr<CallerConnection>> concerned;
    for (const auto &[session, caller] : callers_) {
        if (caller->concernedByViews()) {
            concerned.push_back(caller);
        }
    }
    for (const auto &caller : concerned) {
        caller->handle(ViewChanged{});
    }
    knowledgeChanged();
}

void EntryNode::updateEndpoints()
{
    std::map<std::string, const Announcement *> endpoints;
    for (const auto &group : knowledge_.views.groups()) {
        for (const auto &member : knowledge_.views.view(group)->members) {
            if (member.state != EndpointState::Stopped
                && parseAddress(member.announcement.address).has_value()) {
                endpoints[member.announcement.endpoint] = &member.announcement;
            }
        }
    }
    std::erase_if(pools_, [&](const auto &entry) { return !endpoints.contains(entry.first); });
    for (const auto &[endpoint, announcement] : endpoints) {
        auto &pool = pools_[endpoint];
        auto target = targetOf(*announcement, "hyssoprock-entry");
        const bool restarted = incarnations_[endpoint] != announcement->incarnation;
        if (!pool || restarted || pool->target().address != target.address) {
            pool = std::make_shared<EndpointPool>(context_, endpoint, std::move(target), settings_,
                                                  ledger_, metrics_, poolHandlers_);
        }
        if (restarted) {
            knowledge_.endpoints.forgetPosition(endpoint);
            incarnations_[endpoint] = announcement->incarnation;
        }
    }
    updateProbers(endpoints);
}

void EntryNode::updateProbers(const std::map<std::string, const Announcement *> &endpoints)
{
    std::vector<HostPlace> hosts;
    for (const auto &place : knowledge_.views.hosts()) {
        hosts.push_back(parseHostPlace(place));
    }
    const auto observes = [&](const std::string &endpoint) {
        return isObserver(settings_.host.name, endpoint, hosts, settings_.lease.observers);
    };
    std::erase_if(probers_, [&](const auto &entry) {
        const auto found = endpoints.find(entry.first);
        return found == endpoints.end() || !observes(entry.first)
               || toString(entry.second->address()) != found->second->address;
    });
    for (const auto &[endpoint, announcement] : endpoints) {
        if (probers_.contains(endpoint) || !observes(endpoint)) {
            continue;
        }
        EndpointProber::Handlers handlers;
        handlers.answered = [this, group = announcement->group,
                             name = endpoint](const EndpointReport &report, Instant sent) {
            observe(group, name, report, sent, knowledge_.views.leaseValid(sent));
        };
        handlers.silent = [this, name = endpoint]() {
            writeLog(LogLevel::Warning, LogComponent::Endpoint,
                     "endpoint " + name + " does not answer probes");
            control_.renewWithin(Duration::zero());
        };
        probers_.emplace(endpoint,
                         std::make_unique<EndpointProber>(
                             context_, endpoint, targetOf(*announcement, "hyssoprock-observer"),
                             settings_.lease, std::move(handlers)));
    }
}

void EntryNode::reportQuiesced()
{
    const auto now = quiesced();
    const bool newGroup =
        !std::includes(reportedQuiesced_.begin(), reportedQuiesced_.end(), now.begin(), now.end());
    if (newGroup) {
        reportedQuiesced_ = now;
        control_.renewWithin(Duration::zero());
    }
}

void EntryNode::takeAnnouncement(const SocketAddress &from, const Frame &frame)
{
    const auto announcement = messageIn<Announcement>(frame);
    if (announcement.has_error() || announcement.value().endpoint.empty()
        || parseAddress(announcement.value().address).has_error()) {
        metrics_.countRefusedMessage("datagram");
        writeLog(LogLevel::Debug, LogComponent::Member,
                 "refused an announcement of " + toString(from));
        return;
    }
    if (announcements_.take(announcement.value(), monotonicNow())) {
        writeLog(LogLevel::Info, LogComponent::Member,
                 "endpoint " + announcement.value().endpoint + " of group "
                     + announcement.value().group + " announces itself at "
                     + announcement.value().address);
        control_.renewWithin(Duration::zero());
    }
}

} // namespace hyssoprock
