#include <hyssoprock/pooler/control_subscription.hpp>

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds{100};
constexpr Duration keepAliveInterval = std::chrono::milliseconds{800};
// A connection can fail silently without a reset, for example after a route is lost.
constexpr Duration silenceTimeout = std::chrono::seconds{2};
// A partially received frame makes progress if bytes arrived within this time.
constexpr Duration progressInterval = std::chrono::milliseconds{300};
// A control host that was replaced does not return at its old address.
constexpr Duration forgetDelay = std::chrono::seconds{60};
// A restarted control host has received a heartbeat of every endpoint after two intervals; one more
// allows for a late heartbeat.
constexpr int retentionHeartbeatCount = 3;

std::uint16_t internalPort(const PooledSettings &settings)
{
    const auto address = parseAddress(settings.listen.internal);
    return address.has_error() ? std::uint16_t{0} : address.value().port;
}

} // namespace

ControlSubscription::ControlSubscription(boost::asio::io_context &context,
                                         const PooledSettings &settings, std::uint64_t seed,
                                         EventCallback callback)
    : context_{context}
    , host_{settings.host.name}
    , topology_{settings.host.dataCentre, settings.deployment.dataCentres}
    , seeds_{settings.seeds}
    , port_{internalPort(settings)}
    , hostLease_{settings.deployment.hostLease}
    , random_{seed}
    , eventCallback_{std::move(callback)}
    , view_{retentionHeartbeatCount * settings.deployment.heartbeat}
    , documentFetchScheduler_{seed}
    , timer_{context}
    , positionTimer_{context, [this]() { requestPositions(); }}
    , allowances_{seed}
    , allowanceTimer_{context,
                      [this]() { executeAllowanceActions(allowances_.tick(monotonicNow())); }}
{
    if (settings.deployment.positionInterval > Duration::zero()) {
        positions_.emplace(settings.deployment.positionInterval, seed);
    }
    if (!settings.deployment.fencedPromotions) {
        lease_.emplace(random_.next(), hostLease_);
    }
}

ControlSubscription::~ControlSubscription() = default;

void ControlSubscription::start()
{
    setSeeds(seeds_);
    scheduleTick();
}

void ControlSubscription::setSeeds(const SeedSettings &seeds)
{
    for (auto &[ip, host] : controlHosts_) {
        host.seed = false;
    }
    for (const auto &seed : seeds.controlHosts) {
        if (const auto address = parseAddress(seed); !address.has_error()) {
            addControlHost(address.value().ip, true);
        }
    }
}

void ControlSubscription::addControlHost(const std::string &ip, bool seed)
{
    boost::system::error_code error;
    (void)boost::asio::ip::make_address(ip, error);
    if (error) {
        writeLog(LogLevel::Warning, LogComponent::Member,
                 "control host \"" + ip + "\" is ignored: not an IP address");
        return;
    }
    const auto [entry, added] = controlHosts_.try_emplace(ip);
    auto &host = entry->second;
    host.seed = host.seed || seed;
    if (!added) {
        return;
    }
    host.lastReachableAt = monotonicNow();
    host.client = std::make_unique<FrameClient>(
        context_, SocketAddress{ip, port_},
        [this, ip]() {
            const auto &document = view_.document();
            return frameOf(
                SubscribeRequest{host_, topology_.dataCentre(), document ? document->version : 0,
                                 documentFetchScheduler_.handleConnect(ip, monotonicNow())});
        },
        random_.next());
    FrameClient::Handlers handlers;
    handlers.connected = [this, ip]() { handleConnect(ip); };
    handlers.frame = [this, ip](const Frame &frame) { handleFrame(ip, frame); };
    handlers.disconnected = [this, ip](const Error &reason) { handleDisconnect(ip, reason); };
    host.client->start(std::move(handlers));
}

void ControlSubscription::handleConnect(const std::string &ip)
{
    auto &host = controlHosts_.at(ip);
    const auto now = monotonicNow();
    host.lastReceivedAt = now;
    host.lastReachableAt = now;
    host.lastKeepAliveAt = now;
}

void ControlSubscription::handleDisconnect(const std::string &ip, const Error &error)
{
    auto &host = controlHosts_.at(ip);
    if (host.lastReceivedAt != Instant{}) {
        host.lastReceivedAt = Instant{};
        writeLog(LogLevel::Warning, LogComponent::Member,
                 "lost the connection to control host " + ip + ": " + error.detail);
    }
    documentFetchScheduler_.handleDisconnect(ip);
    reportSchedule_.handleDisconnect(ip);
    if (lease_) {
        lease_->handleDisconnect(ip);
    }
    if (positions_) {
        positions_->handleDisconnect(ip);
        requestPositions();
    }
    executeAllowanceActions(allowances_.handleDisconnect(ip, monotonicNow()));
    reportChanges(view_.handleDisconnect(ip, monotonicNow()));
    fetchDocument();
}

void ControlSubscription::handleFrame(const std::string &ip, const Frame &frame)
{
    auto &host = controlHosts_.at(ip);
    const auto now = monotonicNow();
    host.lastReceivedAt = now;
    host.lastReachableAt = now;
    Error error;
    if (holds<KeepAlive>(frame)) {
        return;
    }
    if (holds<DeploymentUpdate>(frame)) {
        const auto update = decodeMessage<DeploymentUpdate>(frame);
        if (!update.has_error()) {
            handleUpdate(ip, update.value());
            return;
        }
        error = update.error();
    } else if (holds<DocumentAnswer>(frame)) {
        const auto answer = decodeMessage<DocumentAnswer>(frame);
        if (!answer.has_error()) {
            handleDocument(ip, answer.value());
            return;
        }
        error = answer.error();
    } else if (holds<EvidenceRequest>(frame)) {
        auto request = decodeMessage<EvidenceRequest>(frame);
        if (!request.has_error()) {
            eventCallback_(pooler::EvidenceRequested{std::move(request.value().service),
                                                     std::move(request.value().endpoint)});
            return;
        }
        error = request.error();
    } else if (holds<EntryReportRequest>(frame)) {
        const auto request = decodeMessage<EntryReportRequest>(frame);
        if (!request.has_error()) {
            reportSchedule_.handleRequest(ip, std::chrono::milliseconds{request.value().intervalMs},
                                          now);
            return;
        }
        error = request.error();
    } else if (holds<HostLeaseGrant>(frame)) {
        const auto grant = decodeMessage<HostLeaseGrant>(frame);
        if (!grant.has_error()) {
            handleLeaseGrant(ip, grant.value());
            return;
        }
        error = grant.error();
    } else if (holds<PositionReport>(frame)) {
        const auto report = decodeMessage<PositionReport>(frame);
        if (!report.has_error()) {
            handlePositions(ip, report.value());
            return;
        }
        error = report.error();
    } else if (const auto handled = handleAllowanceFrame(ip, frame); handled.has_error()) {
        error = handled.error();
    } else {
        // A newer control host may send messages that this version does not know.
        return;
    }
    host.client->reconnect(error);
}

void ControlSubscription::handleUpdate(const std::string &ip, const DeploymentUpdate &update)
{
    auto &host = controlHosts_.at(ip);
    if (!update.dataCentre.empty()) {
        host.dataCentre = update.dataCentre;
        allowances_.setProximity(ip, topology_.proximity(host.dataCentre));
        if (positions_) {
            positions_->setProximity(ip, topology_.proximity(host.dataCentre));
        }
    }
    documentFetchScheduler_.handleAnnouncement(ip, topology_.proximity(host.dataCentre),
                                               update.documentVersion, monotonicNow());
    fetchDocument();
    reportChanges(view_.applyUpdate(ip, update, monotonicNow()));
    for (const auto &controlHost : update.controlHosts) {
        addControlHost(controlHost, false);
    }
}

Result<DeploymentDocument> ControlSubscription::decodeDocument(const DocumentAnswer &answer) const
{
    BOOST_OUTCOME_TRY(const auto delta, decompressDelta(answer));
    return applyDelta(view_.document().get(), delta);
}

void ControlSubscription::handleDocument(const std::string &ip, const DocumentAnswer &answer)
{
    const auto held = view_.document() ? view_.document()->version : 0;
    if (answer.version > held) {
        auto document = decodeDocument(answer);
        if (document.has_error()) {
            writeLog(LogLevel::Warning, LogComponent::Config,
                     "document " + std::to_string(answer.version) + " of control host " + ip
                         + " is not used: " + document.error().detail);
            documentFetchScheduler_.handleFailure(ip, monotonicNow());
            fetchDocument();
            return;
        }
        const auto shared = std::make_shared<const DeploymentDocument>(std::move(document.value()));
        if (view_.adoptDocument(shared)) {
            writeLog(LogLevel::Info, LogComponent::Config,
                     "document " + std::to_string(shared->version) + " is in force");
            startLeaseIfNeeded();
            eventCallback_(pooler::DocumentChanged{shared});
        }
    }
    documentFetchScheduler_.handleAnswer(ip, view_.document() ? view_.document()->version : 0,
                                         monotonicNow());
    fetchDocument();
}

void ControlSubscription::startLeaseIfNeeded()
{
    const auto &services = view_.document()->services;
    const auto needed = std::any_of(services.begin(), services.end(), [](const auto &service) {
        return service.synchronousReplicas > 0;
    });
    if (needed && !lease_) {
        lease_.emplace(random_.next(), hostLease_);
        requestLease();
    }
}

void ControlSubscription::fetchDocument()
{
    while (const auto fetchRequest = documentFetchScheduler_.nextRequest(monotonicNow())) {
        const auto &document = view_.document();
        DocumentRequest request;
        if (document && !fetchRequest->wholeDocument) {
            request = {document->version, computeDigest(*document)};
        }
        if (const auto host = controlHosts_.find(fetchRequest->host);
            host != controlHosts_.end() && host->second.client->send(request)) {
            return;
        }
        documentFetchScheduler_.handleDisconnect(fetchRequest->host);
    }
}

void ControlSubscription::reportChanges(DeploymentViewChanges changes)
{
    if (changes.endpoints) {
        eventCallback_(pooler::EndpointsChanged{view_.endpoints()});
    }
    for (auto &primary : changes.primaries) {
        if (lease_ && !primary.endpoint.empty()) {
            lease_->endRelease(primary.service);
        }
        eventCallback_(pooler::PrimaryChanged{std::move(primary)});
    }
    if (changes.entryHosts) {
        eventCallback_(pooler::EntryHostsChanged{view_.entryHosts()});
    }
}

void ControlSubscription::sendEvidence(const pooler::ReportEvidence &evidence)
{
    const EvidenceReport report{host_, evidence.service, evidence.endpoint, evidence.reachability};
    for (auto &[ip, host] : controlHosts_) {
        host.client->send(report);
    }
}

void ControlSubscription::sendRelease(const pooler::PrimaryReleased &release)
{
    if (lease_) {
        lease_->release({release.service, release.epoch});
        requestLease();
    }
}

void ControlSubscription::endLease()
{
    if (lease_) {
        lease_->leave();
        requestLease();
    }
}

void ControlSubscription::requestLease()
{
    const auto due = lease_ ? lease_->nextRequest(monotonicNow()) : std::nullopt;
    if (!due) {
        return;
    }
    for (auto &[ip, host] : controlHosts_) {
        if (due->controlHost.empty() || due->controlHost == ip) {
            host.client->send(due->request);
        }
    }
}

void ControlSubscription::handleLeaseGrant(const std::string &ip, const HostLeaseGrant &grant)
{
    if (!lease_) {
        return;
    }
    if (const auto until = lease_->handleGrant(ip, grant, monotonicNow())) {
        eventCallback_(pooler::LeaseExtended{*until});
    }
}

void ControlSubscription::handlePositions(const std::string &ip, const PositionReport &report)
{
    if (!positions_) {
        return;
    }
    if (report.sequence == 0) {
        positions_->handleOffer(ip, topology_.proximity(controlHosts_.at(ip).dataCentre));
    } else if (auto samples = positions_->handleReport(ip, report, monotonicNow());
               !samples.empty()) {
        eventCallback_(pooler::PositionsReceived{std::move(samples)});
    }
    requestPositions();
}

void ControlSubscription::requestPositions()
{
    if (!positions_ || !positionSource_) {
        return;
    }
    const auto now = monotonicNow();
    if (positions_->isDue(now)) {
        if (auto due = positions_->nextRequest(positionSource_(), now)) {
            if (const auto host = controlHosts_.find(due->controlHost);
                host == controlHosts_.end() || !host->second.client->send(due->request)) {
                positions_->handleDisconnect(due->controlHost);
            }
        }
    }
    positionTimer_.set(positions_->nextDeadline());
}

void ControlSubscription::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void ControlSubscription::tick()
{
    const auto now = monotonicNow();
    for (auto entry = controlHosts_.begin(); entry != controlHosts_.end();) {
        auto &[ip, host] = *entry;
        if (host.client->isUp()) {
            const auto receivedAt = host.client->receivedAt();
            if (host.client->hasPartialFrame() && now - receivedAt < progressInterval) {
                documentFetchScheduler_.handleProgress(ip, now);
            }
            if (now - std::max(host.lastReceivedAt, receivedAt) >= silenceTimeout) {
                host.client->reconnect(Error{ErrorKind::Unreachable, "no bytes received for 2 s"});
            } else if (now - host.lastKeepAliveAt >= keepAliveInterval) {
                host.lastKeepAliveAt = now;
                host.client->send(KeepAlive{++host.sequence});
            }
        } else if (!host.seed && now - host.lastReachableAt >= forgetDelay
                   && !view_.isControlHostListed(ip)) {
            writeLog(LogLevel::Info, LogComponent::Member, "control host " + ip + " is forgotten");
            view_.forget(ip);
            entry = controlHosts_.erase(entry);
            continue;
        }
        ++entry;
    }
    reportChanges(view_.expireRetained(now));
    fetchDocument();
    sendReports(now);
    requestLease();
}

} // namespace hyssoprock
