#include <hyssoprock/pooler/entry_host_publisher.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <hyssoprock/registry/entry_report_schedule.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Minimum interval between two reports of an entry host.
constexpr std::uint32_t reportIntervalMs = 1000;

// Keeps the count stable while an entry host reconnects.
constexpr Duration entryHostLifetime = std::chrono::seconds{10};
// No document is sent while more than this is queued for an entry host; it gets the newest one
// afterwards.
constexpr std::size_t queuedBytesMax = std::size_t{64} * 1024;

} // namespace

EntryHostPublisher::EntryHostPublisher(const ControlGroup &group, ForwardedCalls &calls,
                                       std::string dataCentre, DocumentCache &documents)
    : group_{group}
    , forwardedCalls_{calls}
    , dataCentre_{std::move(dataCentre)}
    , documents_{documents}
    , provisional_{monotonicNow()}
{}

void EntryHostPublisher::subscribe(std::uint64_t id, std::shared_ptr<FrameConnection> connection,
                                   const SubscribeRequest &request)
{
    Subscriber subscriber;
    subscriber.connection = std::move(connection);
    subscriber.host = request.host;
    subscriber.dataCentre = request.dataCentre;
    subscriber.documentVersion = request.documentVersion;
    if (request.fetch) {
        subscriber.pendingRequest = DocumentRequest{};
    }
    const auto now = monotonicNow();
    if (reportsRequested(now)) {
        subscriber.connection->sendMessage(EntryReportRequest{reportIntervalMs});
    }
    subscribers_[id] = std::move(subscriber);
    lastSeenAt_[request.host] = now;
    updateAll();
}

void EntryHostPublisher::handleRequest(std::uint64_t id, const DocumentRequest &request)
{
    if (const auto found = subscribers_.find(id); found != subscribers_.end()) {
        found->second.pendingRequest = request;
        answerRequest(found->second);
    }
}

void EntryHostPublisher::answerRequest(Subscriber &subscriber)
{
    const auto announced = subscriber.complete || subscriber.provisional;
    if (!subscriber.pendingRequest || !announced
        || subscriber.connection->queuedBytes() > queuedBytesMax) {
        return;
    }
    const auto request = *subscriber.pendingRequest;
    subscriber.pendingRequest.reset();
    if (const auto frame = documents_.frameFor(request.held, request.digest)) {
        subscriber.connection->send(frame);
    }
}

bool EntryHostPublisher::requestReports(Instant now)
{
    const auto requested = reportsRequested(now);
    if (!requested || now >= *reportsRequestedAt_ + EntryReportSchedule::requestLifetime / 2) {
        reportsRequestedAt_ = now;
        const auto frame = sharedFrameOf(EntryReportRequest{reportIntervalMs});
        for (const auto &[id, subscriber] : subscribers_) {
            subscriber.connection->send(frame);
        }
    }
    return requested;
}

bool EntryHostPublisher::reportsRequested(Instant now) const
{
    return reportsRequestedAt_ && now < *reportsRequestedAt_ + EntryReportSchedule::requestLifetime;
}

void EntryHostPublisher::recordReport(std::uint64_t id, EntryReport report)
{
    if (const auto found = subscribers_.find(id); found != subscribers_.end()) {
        mergeReport(found->second.report, std::move(report));
    }
}

std::vector<EntryHostStatus> EntryHostPublisher::status() const
{
    // A reconnected host may still have its previous connection; the newer one takes precedence.
    std::map<std::string, EntryHostStatus> byName;
    for (const auto &[id, subscriber] : subscribers_) {
        byName[subscriber.host] =
            EntryHostStatus{subscriber.host, subscriber.dataCentre, subscriber.report.has_value(),
                            subscriber.report.value_or(EntryReport{})};
    }
    std::vector<EntryHostStatus> result;
    result.reserve(byName.size());
    for (auto &[name, status] : byName) {
        result.push_back(std::move(status));
    }
    return result;
}

void EntryHostPublisher::recordControlHostVersion(const std::string &controlHost,
                                                  std::uint64_t version)
{
    provisional_.recordVersion(controlHost, version);
    if (!group_.isCaughtUp(monotonicNow())) {
        updateAll();
    }
}

void EntryHostPublisher::recordContact(std::uint64_t id, Instant now)
{
    if (const auto found = subscribers_.find(id); found != subscribers_.end()) {
        lastSeenAt_[found->second.host] = now;
    }
}

void EntryHostPublisher::tick(Instant now)
{
    std::erase_if(lastSeenAt_,
                  [now](const auto &item) { return now - item.second > entryHostLifetime; });
    updateAll();
}

void EntryHostPublisher::updateAll()
{
    const auto entryHosts = count();
    const auto controlHosts = group_.membership().activeHosts();
    documents_.refresh(group_.replica());
    for (auto &[id, subscriber] : subscribers_) {
        readNewestVersion(id, subscriber);
        update(subscriber, entryHosts, controlHosts);
        answerRequest(subscriber);
    }
}

std::uint32_t EntryHostPublisher::count() const
{
    const auto present = static_cast<std::uint32_t>(lastSeenAt_.size());
    return monotonicNow() < restoredCountUntil_ ? std::max(present, restoredCount_) : present;
}

void EntryHostPublisher::restoreCount(std::uint32_t count)
{
    restoredCount_ = count;
    restoredCountUntil_ = monotonicNow() + entryHostLifetime;
}

void EntryHostPublisher::readNewestVersion(std::uint64_t id, Subscriber &subscriber)
{
    // Only the leader knows the newest version: a document may have been acknowledged after the
    // last heartbeat that this follower received.
    if (subscriber.newestVersion || subscriber.readingVersion) {
        return;
    }
    subscriber.readingVersion = true;
    forwardedCalls_.readVersion([this, id](const Result<std::uint64_t> &result) {
        const auto found = subscribers_.find(id);
        if (found == subscribers_.end()) {
            return;
        }
        found->second.readingVersion = false;
        if (result.has_value()) {
            found->second.newestVersion = result.value();
            update(found->second, count(), group_.membership().activeHosts());
        }
    });
}

void EntryHostPublisher::update(Subscriber &subscriber, std::uint32_t entryHosts,
                                const std::vector<std::string> &controlHosts)
{
    DeploymentUpdate update;
    update.complete = !subscriber.complete;
    const auto current =
        subscriber.newestVersion && group_.replica().state().version() >= *subscriber.newestVersion;
    const auto caughtUp = group_.isCaughtUp(monotonicNow());
    if (update.complete && !(current && caughtUp)) {
        if (!caughtUp) {
            updateProvisionally(subscriber, entryHosts, controlHosts);
        }
        return;
    }
    update.documentVersion = documents_.version();
    const auto newer = update.documentVersion > subscriber.documentVersion;
    if (entryHosts != subscriber.entryHosts || update.complete) {
        update.entryHosts = entryHosts;
    }
    if (controlHosts != subscriber.controlHosts || update.complete) {
        update.controlHosts = controlHosts;
    }
    if (update.complete) {
        update.dataCentre = dataCentre_;
        for (const auto &[id, endpoint] : endpoints_) {
            update.endpoints.push_back(endpoint);
        }
        for (const auto &[service, primary] : primaries_) {
            update.primaries.push_back(primary);
        }
    } else if (!newer && update.entryHosts == 0 && update.controlHosts.empty()) {
        return;
    }
    subscriber.complete = true;
    subscriber.documentVersion = std::max(subscriber.documentVersion, update.documentVersion);
    subscriber.entryHosts = entryHosts;
    subscriber.controlHosts = controlHosts;
    answerRequest(subscriber);
    subscriber.connection->sendMessage(update);
}

void EntryHostPublisher::updateProvisionally(Subscriber &subscriber, std::uint32_t entryHosts,
                                             const std::vector<std::string> &controlHosts)
{
    // After a restart of all hosts, an entry host uses the newest document that a control host
    // knows to be committed until a leader is elected. Only a newer document replaces it.
    if (subscriber.provisional || subscriber.documentVersion != 0
        || !provisional_.mayAnnounce(documents_.version(), group_.voters().size(),
                                     monotonicNow())) {
        return;
    }
    DeploymentUpdate update;
    update.complete = true;
    update.documentVersion = documents_.version();
    update.dataCentre = dataCentre_;
    update.entryHosts = entryHosts;
    update.controlHosts = controlHosts;
    for (const auto &[id, endpoint] : endpoints_) {
        update.endpoints.push_back(endpoint);
    }
    subscriber.provisional = true;
    subscriber.documentVersion = update.documentVersion;
    answerRequest(subscriber);
    subscriber.connection->sendMessage(update);
}

void EntryHostPublisher::sendAll(const SharedFrame &frame)
{
    for (const auto &[id, subscriber] : subscribers_) {
        if (subscriber.complete || subscriber.provisional) {
            subscriber.connection->send(frame);
        }
    }
}

void EntryHostPublisher::pushEndpoints(const std::vector<EndpointRecord> &changed,
                                       const std::vector<EndpointGone> &gone)
{
    for (const auto &endpoint : changed) {
        endpoints_[endpoint.id] = endpoint;
    }
    for (const auto &item : gone) {
        const auto found = endpoints_.find(item.id);
        if (found != endpoints_.end() && found->second.bornMs <= item.bornMs) {
            endpoints_.erase(found);
        }
    }
    DeploymentUpdate update;
    update.documentVersion = documents_.version();
    update.endpoints = changed;
    update.gone = gone;
    sendAll(sharedFrameOf(update));
}

void EntryHostPublisher::pushPrimary(const PrimaryRecord &record)
{
    auto &known = primaries_[record.service];
    if (record.epoch < known.epoch) {
        return;
    }
    known = record;
    DeploymentUpdate update;
    update.documentVersion = documents_.version();
    update.primaries.push_back(record);
    sendAll(sharedFrameOf(update));
}

void EntryHostPublisher::requestEvidence(const std::string &service, const std::string &endpoint,
                                         const std::vector<std::string> &hosts)
{
    const auto frame = sharedFrameOf(EvidenceRequest{service, endpoint});
    for (const auto &[id, subscriber] : subscribers_) {
        if (hosts.empty()
            || std::find(hosts.begin(), hosts.end(), subscriber.host) != hosts.end()) {
            subscriber.connection->send(frame);
        }
    }
}

std::vector<std::string> EntryHostPublisher::connected() const
{
    std::set<std::string> names;
    for (const auto &[id, subscriber] : subscribers_) {
        names.insert(subscriber.host);
    }
    return {names.begin(), names.end()};
}

} // namespace hyssoprock
