#include <hyssoprock/pooler/control_node.hpp>

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration tickInterval = milliseconds{100};
constexpr Duration keepAliveInterval = milliseconds{500};
constexpr Duration silenceLimit = seconds{2};
// A quarter of the memory of the smallest control host.
constexpr std::size_t queuedBytesMax = std::size_t{64} * 1024 * 1024;
// Time for the new leader's election before it is asked to replace this host.
constexpr Duration transferTime = milliseconds{250};
constexpr Duration leaveTime = milliseconds{200};

Result<void> done()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

PooledControlNode::PooledControlNode(boost::asio::io_context &context, ControlNodeSettings settings,
                                     DocumentParser reader, std::uint64_t seed,
                                     std::shared_ptr<FileSystem> files)
    : context_{context}
    , settings_{std::move(settings)}
    , random_{seed}
    , peers_{context, settings_.name, random_.next()}
    , group_{context, settings_, peers_, random_.next(), std::move(files)}
    , calls_{context, group_, peers_}
    , documents_{std::move(reader)}
    , feed_{group_, calls_, settings_.dataCentre, documents_}
    , visitors_{context, visitorHandlers()}
    , listener_{context}
    , timer_{context, [this]() { tick(); }}
    , alive_{std::make_shared<PooledControlNode *>(this)}
{}

PooledControlNode::~PooledControlNode() = default;

ControlClients::Handlers PooledControlNode::visitorHandlers()
{
    ControlClients::Handlers handlers;
    handlers.heard = [this](std::uint64_t id, const ControlClient &visitor) {
        if (visitor.role == "control") {
            group_.membership().recordHost(visitor.process, visitor.lastReceivedAt);
        } else if (visitor.role == "entry") {
            feed_.heard(id, visitor.lastReceivedAt);
        }
    };
    handlers.frame = [this](std::uint64_t id, const ControlClient &visitor, const Frame &frame) {
        if (visitor.role == "operator") {
            return takeOperator(id, frame);
        }
        return visitor.role == "entry" ? takeEntry(id, visitor, frame)
                                       : takeControl(id, visitor, frame);
    };
    handlers.gone = [this](std::uint64_t id) { feed_.remove(id); };
    return handlers;
}

ControlPeers::Handlers PooledControlNode::peerHandlers()
{
    ControlPeers::Handlers handlers;
    handlers.up = [this](const std::string &host) {
        DeploymentUpdate update;
        update.documentVersion = group_.replica().newestCommittedDocument().version;
        update.controlHosts = group_.membership().activeHosts();
        peers_.send(host, update);
    };
    handlers.frame = [this](const std::string &host, const Frame &frame) {
        group_.membership().recordHost(host, monotonicNow());
        if (const auto answer = messageIn<ForwardedAnswer>(frame); answer.has_value()) {
            calls_.receive(host, answer.value());
        } else if (const auto refused = messageIn<ErrorResponse>(frame); refused.has_value()) {
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     host + " refused a message: " + refused.value().detail);
        }
    };
    return handlers;
}

Result<SocketAddress> PooledControlNode::start()
{
    BOOST_OUTCOME_TRYV(group_.start([this](bool leading) {
        if (leadershipChanged_) {
            leadershipChanged_(leading);
        }
    }));
    BOOST_OUTCOME_TRY(auto address, listener_.open(settings_.internal,
                                                   [this](boost::asio::ip::tcp::socket socket) {
                                                       visitors_.accept(std::move(socket));
                                                   }));
    peers_.start(address.port, peerHandlers());
    tick();
    return address;
}

Result<void> PooledControlNode::takeEntry(std::uint64_t id, const ControlClient &visitor,
                                          const Frame &frame)
{
    if (holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<SubscribeRequest>(frame));
        if (request.host != visitor.process) {
            return failure(ErrorKind::ProtocolViolation, "the subscription names another host");
        }
        feed_.subscribe(id, visitor.connection, request);
        return done();
    }
    if (holds<EntryReport>(frame)) {
        BOOST_OUTCOME_TRY(auto report, messageIn<EntryReport>(frame));
        feed_.report(id, std::move(report));
        return done();
    }
    if (holds<DocumentRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<DocumentRequest>(frame));
        feed_.request(id, request);
        return done();
    }
    BOOST_OUTCOME_TRY(const auto report, messageIn<EvidenceReport>(frame));
    if (report.host != visitor.process) {
        return failure(ErrorKind::ProtocolViolation, "the report names another host");
    }
    if (evidenceReceived_) {
        evidenceReceived_(report);
    }
    return done();
}

Result<void> PooledControlNode::takeControl(std::uint64_t id, const ControlClient &visitor,
                                            const Frame &frame)
{
    BOOST_OUTCOME_TRY(const auto taken, group_.receive(visitor.process, frame));
    if (taken) {
        return done();
    }
    if (holds<ForwardedCall>(frame)) {
        BOOST_OUTCOME_TRY(const auto call, messageIn<ForwardedCall>(frame));
        takeForwarded(id, call);
        return done();
    }
    BOOST_OUTCOME_TRY(const auto update, messageIn<DeploymentUpdate>(frame));
    feed_.noteVersion(visitor.process, update.documentVersion);
    for (const auto &host : update.controlHosts) {
        if (!peers_.contains(host)) {
            group_.membership().recordHost(host, monotonicNow());
        }
    }
    if (endpointsShared_ && !(update.endpoints.empty() && update.gone.empty())) {
        endpointsShared_(update.endpoints, update.gone);
    }
    return done();
}

void PooledControlNode::takeForwarded(std::uint64_t id, const ForwardedCall &call)
{
    calls_.serve(call, [this, id, request = call.request](const Result<VersionedDocument> &result) {
        ForwardedAnswer answer;
        answer.request = request;
        if (result.has_error()) {
            answer.error = result.error().kind;
        } else {
            answer.version = result.value().first;
            answer.document = result.value().second;
        }
        visitors_.send(id, answer);
    });
}

void PooledControlNode::tick()
{
    const auto now = monotonicNow();
    visitors_.closeSilent(now, silenceLimit);
    visitors_.limitQueuedBytes(queuedBytesMax);
    peers_.closeSilent(now, silenceLimit);
    group_.tick(now);
    peers_.sync(group_.membership().knownHosts(), now);
    if (now - keepAliveAt_ >= keepAliveInterval) {
        keepAlive(now);
    }
    feed_.tick(now);
    timer_.set(now + tickInterval);
}

void PooledControlNode::keepAlive(Instant now)
{
    keepAliveAt_ = now;
    const KeepAlive message{++keepAlives_};
    visitors_.sendAll(message);
    peers_.sendAll(message);
}

void PooledControlNode::putDocument(std::uint64_t version, const std::string &document,
                                    PutDocumentCallback stored)
{
    calls_.putDocument(version, document, std::move(stored));
}

void PooledControlNode::readDocument(ReadDocumentCallback read)
{
    calls_.readDocument(std::move(read));
}

bool PooledControlNode::isLeader() const
{
    return group_.isLeader();
}

void PooledControlNode::propose(const ControlCommand &command, ProposeCallback completed)
{
    group_.propose(command, std::move(completed));
}

void PooledControlNode::restoreCommittedVersion(std::uint64_t version) noexcept
{
    group_.replica().restoreCommittedVersion(version);
}

void PooledControlNode::restoreEntryHostCount(std::uint32_t count)
{
    feed_.restoreCount(count);
}

std::uint32_t PooledControlNode::entryHostCount() const
{
    return feed_.count();
}

void PooledControlNode::pushEndpoints(const std::vector<EndpointRecord> &changed,
                                      const std::vector<EndpointGone> &gone)
{
    feed_.pushEndpoints(changed, gone);
}

void PooledControlNode::pushPrimary(const PrimaryRecord &record)
{
    feed_.pushPrimary(record);
}

void PooledControlNode::shareEndpoints(const std::vector<EndpointRecord> &endpoints,
                                       const std::vector<EndpointGone> &gone)
{
    DeploymentUpdate update;
    update.endpoints = endpoints;
    update.gone = gone;
    peers_.sendAll(update);
}

void PooledControlNode::requestEvidence(const std::string &service, const std::string &endpoint)
{
    feed_.requestEvidence(service, endpoint);
}

std::vector<std::string> PooledControlNode::connectedEntryHosts() const
{
    return feed_.connected();
}

std::vector<std::string> PooledControlNode::voters() const
{
    return group_.voters();
}

void PooledControlNode::stop(std::function<void()> stopped)
{
    listener_.close();
    group_.stop();
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(transferTime);
    timer->async_wait([weak = std::weak_ptr{alive_}, timer,
                       stopped = std::move(stopped)](const boost::system::error_code & /*error*/) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        (*self)->peers_.sendAll(LeaveRequest{(*self)->settings_.name});
        timer->expires_after(leaveTime);
        timer->async_wait(
            [timer, stopped](const boost::system::error_code & /*failed*/) { stopped(); });
    });
}

} // namespace hyssoprock
