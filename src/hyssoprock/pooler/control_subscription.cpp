#include <hyssoprock/pooler/control_subscription.hpp>

#include <utility>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds{100};
constexpr Duration keepAliveInterval = std::chrono::milliseconds{500};
// A connection can go silent without a reset, for example behind a dropped route.
constexpr Duration silenceMost = std::chrono::seconds{2};
// A control host that was replaced at another address does not come back at the old one.
constexpr Duration forgetAfter = std::chrono::seconds{60};
// A control host that has just started has heard every endpoint after two heartbeat intervals; one
// more covers a heartbeat that is late.
constexpr int retentionHeartbeats = 3;

std::uint16_t internalPort(const PooledSettings &settings)
{
    const auto address = parseAddress(settings.listen.internal);
    return address.has_error() ? std::uint16_t{0} : address.value().port;
}

} // namespace

ControlSubscription::ControlSubscription(boost::asio::io_context &context,
                                         const PooledSettings &settings, const CodecFactory &codecs,
                                         std::uint64_t seed, Report report)
    : context_{context}
    , host_{settings.host.name}
    , dataCentre_{settings.host.dataCentre}
    , seeds_{settings.seeds}
    , port_{internalPort(settings)}
    , codecs_{codecs}
    , random_{seed}
    , report_{std::move(report)}
    , view_{retentionHeartbeats * settings.deployment.heartbeat}
    , timer_{context}
{}

ControlSubscription::~ControlSubscription() = default;

void ControlSubscription::start()
{
    setSeeds(seeds_);
    tickLater();
}

void ControlSubscription::setSeeds(const SeedSettings &seeds)
{
    for (auto &[ip, host] : hosts_) {
        host.seed = false;
    }
    for (const auto &seed : seeds.controlHosts) {
        if (const auto address = parseAddress(seed); !address.has_error()) {
            add(address.value().ip, true);
        }
    }
}

void ControlSubscription::add(const std::string &ip, bool seed)
{
    boost::system::error_code error;
    (void)boost::asio::ip::make_address(ip, error);
    if (error) {
        writeLog(LogLevel::Warning, LogComponent::Member,
                 "control host \"" + ip + "\" is ignored: not an IP number");
        return;
    }
    const auto [entry, added] = hosts_.try_emplace(ip);
    auto &host = entry->second;
    host.seed = host.seed || seed;
    if (!added) {
        return;
    }
    host.lastReachable = monotonicNow();
    host.client = std::make_unique<FrameClient>(
        context_, SocketAddress{ip, port_},
        [this]() {
            const auto &document = view_.document();
            return frameOf(SubscribeRequest{host_, dataCentre_, document ? document->version : 0});
        },
        random_.next());
    FrameClient::Handlers handlers;
    handlers.up = [this, ip]() { connected(ip); };
    handlers.frame = [this, ip](const Frame &frame) { received(ip, frame); };
    handlers.down = [this, ip](const Error &reason) { disconnected(ip, reason); };
    host.client->start(std::move(handlers));
}

void ControlSubscription::connected(const std::string &ip)
{
    auto &host = hosts_.at(ip);
    const auto now = monotonicNow();
    host.lastFrame = now;
    host.lastReachable = now;
    host.lastKeepAlive = now;
}

void ControlSubscription::disconnected(const std::string &ip, const Error &error)
{
    auto &host = hosts_.at(ip);
    if (host.lastFrame != Instant{}) {
        host.lastFrame = Instant{};
        writeLog(LogLevel::Warning, LogComponent::Member,
                 "lost the connection to control host " + ip + ": " + error.detail);
    }
    reports_.disconnected(ip);
    reportChanges(view_.disconnected(ip, monotonicNow()));
}

void ControlSubscription::received(const std::string &ip, const Frame &frame)
{
    auto &host = hosts_.at(ip);
    const auto now = monotonicNow();
    host.lastFrame = now;
    host.lastReachable = now;
    Error error;
    if (holds<KeepAlive>(frame)) {
        return;
    }
    if (holds<DeploymentUpdate>(frame)) {
        const auto update = messageIn<DeploymentUpdate>(frame);
        if (!update.has_error()) {
            receivedUpdate(ip, update.value());
            return;
        }
        error = update.error();
    } else if (holds<EvidenceRequest>(frame)) {
        auto request = messageIn<EvidenceRequest>(frame);
        if (!request.has_error()) {
            report_(pooler::EvidenceAsked{std::move(request.value().service),
                                          std::move(request.value().endpoint)});
            return;
        }
        error = request.error();
    } else if (holds<EntryReportRequest>(frame)) {
        const auto request = messageIn<EntryReportRequest>(frame);
        if (!request.has_error()) {
            reports_.requested(ip, std::chrono::milliseconds{request.value().intervalMs});
            return;
        }
        error = request.error();
    } else {
        // A newer control host may send messages that this version does not know.
        return;
    }
    host.client->reconnect(error);
}

void ControlSubscription::receivedUpdate(const std::string &ip, const DeploymentUpdate &update)
{
    takeDocument(ip, update);
    reportChanges(view_.apply(ip, update, monotonicNow()));
    for (const auto &controlHost : update.controlHosts) {
        add(controlHost, false);
    }
}

void ControlSubscription::takeDocument(const std::string &ip, const DeploymentUpdate &update)
{
    const auto held = view_.document() ? view_.document()->version : 0;
    if (update.document.empty() || update.documentVersion <= held) {
        return;
    }
    auto document = codecs_.readDocument(update.document);
    if (document.has_error()) {
        writeLog(LogLevel::Error, LogComponent::Config,
                 "document " + std::to_string(update.documentVersion) + " of control host " + ip
                     + " is ignored: " + document.error().detail);
        return;
    }
    const auto shared = std::make_shared<const DeploymentDocument>(std::move(document.value()));
    if (view_.offer(shared)) {
        writeLog(LogLevel::Info, LogComponent::Config,
                 "document " + std::to_string(shared->version) + " is in force");
        report_(pooler::DocumentChanged{shared});
    }
}

void ControlSubscription::reportChanges(DeploymentViewChanges changes)
{
    if (changes.endpoints) {
        report_(pooler::EndpointsChanged{view_.endpoints()});
    }
    for (auto &primary : changes.primaries) {
        report_(pooler::PrimaryChanged{std::move(primary)});
    }
    if (changes.entryHosts) {
        report_(pooler::EntryHostsChanged{view_.entryHosts()});
    }
}

void ControlSubscription::sendEvidence(const pooler::ReportEvidence &evidence)
{
    const EvidenceReport report{host_, evidence.service, evidence.endpoint, evidence.reachability};
    for (auto &[ip, host] : hosts_) {
        host.client->send(report);
    }
}

void ControlSubscription::tickLater()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            tickLater();
        }
    });
}

void ControlSubscription::tick()
{
    const auto now = monotonicNow();
    for (auto entry = hosts_.begin(); entry != hosts_.end();) {
        auto &[ip, host] = *entry;
        if (host.client->isUp()) {
            if (now - host.lastFrame >= silenceMost) {
                host.client->reconnect(Error{ErrorKind::Unreachable, "no frame for 2 s"});
            } else if (now - host.lastKeepAlive >= keepAliveInterval) {
                host.lastKeepAlive = now;
                host.client->send(KeepAlive{++host.sequence});
            }
        } else if (!host.seed && now - host.lastReachable >= forgetAfter
                   && !view_.listsControlHost(ip)) {
            writeLog(LogLevel::Info, LogComponent::Member, "control host " + ip + " is forgotten");
            view_.forget(ip);
            entry = hosts_.erase(entry);
            continue;
        }
        ++entry;
    }
    reportChanges(view_.expire(now));
    sendReports(now);
}

} // namespace hyssoprock
