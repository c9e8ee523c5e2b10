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
constexpr Duration keepAliveInterval = milliseconds{800};
constexpr Duration silenceTimeout = seconds{2};
// A quarter of the memory of the smallest supported control host.
constexpr std::size_t queuedBytesMax = std::size_t{64} * 1024 * 1024;
// Time for the election of a new leader before it is asked to replace this host.
constexpr Duration transferDelay = milliseconds{250};
constexpr Duration leaveDelay = milliseconds{200};

Result<void> noError()
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
    , forwardedCalls_{context, group_, peers_}
    , documents_{std::move(reader)}
    , publisher_{group_, forwardedCalls_, settings_.dataCentre, documents_}
    , allowances_{settings_.teamLimitTolerance}
    , clients_{context, clientHandlers(), settings_.memory, settings_.connectionsMax}
    , listener_{context}
    , timer_{context, [this]() { tick(); }}
    , alive_{std::make_shared<PooledControlNode *>(this)}
{}

PooledControlNode::~PooledControlNode() = default;

ControlClients::Handlers PooledControlNode::clientHandlers()
{
    ControlClients::Handlers handlers;
    handlers.received = [this](std::uint64_t id, const ControlClient &client) {
        if (client.role == "control") {
            group_.membership().recordHost(client.process, client.lastReceivedAt);
        } else if (client.role == "entry") {
            publisher_.recordContact(id, client.lastReceivedAt);
        }
    };
    handlers.frame = [this](std::uint64_t id, const ControlClient &client, const Frame &frame) {
        if (client.role == "operator") {
            return handleOperatorFrame(id, frame);
        }
        return client.role == "entry" ? handleEntryFrame(id, client, frame)
                                      : handleControlFrame(id, client, frame);
    };
    handlers.disconnected = [this](std::uint64_t id) { publisher_.remove(id); };
    return handlers;
}

ControlPeers::Handlers PooledControlNode::peerHandlers()
{
    ControlPeers::Handlers handlers;
    handlers.up = [this](const std::string &host) {
        DeploymentUpdate update;
        update.documentVersion = group_.replica().newestCommittedDocument().version;
        update.controlHosts = group_.membership().activeHosts();
        if (endedEndpoints_) {
            update.gone = endedEndpoints_();
        }
        peers_.send(host, update);
    };
    handlers.frame = [this](const std::string &host, const Frame &frame) {
        group_.membership().recordHost(host, monotonicNow());
        if (const auto answer = decodeMessage<ForwardedAnswer>(frame); answer.has_value()) {
            forwardedCalls_.handleAnswer(host, answer.value());
        } else if (const auto refused = decodeMessage<ErrorResponse>(frame); refused.has_value()) {
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     host + " refused a message: " + refused.value().detail);
        }
    };
    return handlers;
}

Result<SocketAddress> PooledControlNode::start()
{
    BOOST_OUTCOME_TRYV(group_.start([this](bool leading) {
        if (leadershipCallback_) {
            leadershipCallback_(leading);
        }
    }));
    BOOST_OUTCOME_TRY(auto address, listener_.open(settings_.internal,
                                                   [this](boost::asio::ip::tcp::socket socket) {
                                                       clients_.accept(std::move(socket));
                                                   }));
    peers_.start(address.port, peerHandlers());
    tick();
    return address;
}

Result<void> PooledControlNode::handleEntryFrame(std::uint64_t id, const ControlClient &client,
                                                 const Frame &frame)
{
    if (holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<SubscribeRequest>(frame));
        if (request.host != client.process) {
            return failure(ErrorKind::ProtocolViolation,
                           "the subscription's host differs from the handshake");
        }
        publisher_.subscribe(id, client.connection, request);
        if (positionCallback_) {
            client.connection->sendMessage(PositionReport{});
        }
        if (offeringAllowances_) {
            client.connection->sendMessage(AllowanceOffer{true});
        }
        return noError();
    }
    if (holds<PositionRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<PositionRequest>(frame));
        if (positionCallback_) {
            client.connection->sendMessage(positionCallback_(request));
        }
        return noError();
    }
    if (holds<AllowanceRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<AllowanceRequest>(frame));
        client.connection->sendMessage(allowances_.handle(request, monotonicNow()));
        return noError();
    }
    if (holds<EntryReport>(frame)) {
        BOOST_OUTCOME_TRY(auto report, decodeMessage<EntryReport>(frame));
        publisher_.recordReport(id, std::move(report));
        return noError();
    }
    if (holds<DocumentRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<DocumentRequest>(frame));
        publisher_.handleRequest(id, request);
        return noError();
    }
    if (holds<HostLeaseRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<HostLeaseRequest>(frame));
        if (leaseCallback_ && publisher_.isComplete(id)) {
            if (const auto grant = leaseCallback_(client.process, request)) {
                client.connection->sendMessage(*grant);
            }
        }
        return noError();
    }
    BOOST_OUTCOME_TRY(const auto report, decodeMessage<EvidenceReport>(frame));
    if (report.host != client.process) {
        return failure(ErrorKind::ProtocolViolation,
                       "the report's host differs from the handshake");
    }
    if (evidenceCallback_) {
        evidenceCallback_(report);
    }
    return noError();
}

Result<void> PooledControlNode::handleControlFrame(std::uint64_t id, const ControlClient &client,
                                                   const Frame &frame)
{
    BOOST_OUTCOME_TRY(const auto isGroupFrame, group_.receive(client.process, frame));
    if (isGroupFrame) {
        return noError();
    }
    if (holds<ForwardedCall>(frame)) {
        BOOST_OUTCOME_TRY(const auto call, decodeMessage<ForwardedCall>(frame));
        handleForwardedCall(id, call);
        return noError();
    }
    BOOST_OUTCOME_TRY(const auto update, decodeMessage<DeploymentUpdate>(frame));
    publisher_.recordControlHostVersion(client.process, update.documentVersion);
    for (const auto &host : update.controlHosts) {
        if (!peers_.contains(host)) {
            group_.membership().recordHost(host, monotonicNow());
        }
    }
    if (sharedEndpointsCallback_ && !(update.endpoints.empty() && update.gone.empty())) {
        sharedEndpointsCallback_(update.endpoints, update.gone);
    }
    return noError();
}

void PooledControlNode::handleForwardedCall(std::uint64_t id, const ForwardedCall &call)
{
    forwardedCalls_.serve(
        call, [this, id, request = call.request](const Result<VersionedDocument> &result) {
            ForwardedAnswer answer;
            answer.request = request;
            if (result.has_error()) {
                answer.error = result.error().kind;
            } else {
                answer.version = result.value().first;
                answer.document = result.value().second;
            }
            clients_.send(id, answer);
        });
}

void PooledControlNode::tick()
{
    const auto now = monotonicNow();
    clients_.closeSilent(now, silenceTimeout);
    clients_.limitQueuedBytes(queuedBytesMax);
    peers_.closeSilent(now, silenceTimeout);
    group_.tick(now);
    peers_.sync(group_.membership().knownHosts(), now);
    if (now - lastKeepAliveAt_ >= keepAliveInterval) {
        sendKeepAlive(now);
    }
    publisher_.tick(now);
    updateAllowances(now);
    timer_.set(now + tickInterval);
}

void PooledControlNode::updateAllowances(Instant now)
{
    const auto committed = group_.replica().newestCommittedDocument();
    if (committed.version > allowances_.documentVersion()) {
        if (auto parsed = documents_.parse(committed.document); parsed.has_value()) {
            allowances_.setDocument(std::move(parsed.value()));
        }
    }
    allowances_.update(group_.voterView(now), now);
    if (const auto offering = allowances_.isOffering(now); offering != offeringAllowances_) {
        offeringAllowances_ = offering;
        clients_.sendAll("entry", AllowanceOffer{offering});
        writeLog(LogLevel::Info, LogComponent::Member,
                 offering ? "this host grants operations of teams with a limit"
                          : "this host grants no operations of teams with a limit");
    }
}

void PooledControlNode::sendKeepAlive(Instant now)
{
    lastKeepAliveAt_ = now;
    const KeepAlive message{++keepAliveSequence_};
    clients_.sendAll(message);
    peers_.sendAll(message);
}

void PooledControlNode::putDocument(std::uint64_t version, const std::string &document,
                                    PutDocumentCallback stored)
{
    forwardedCalls_.putDocument(version, document, std::move(stored));
}

void PooledControlNode::readDocument(ReadDocumentCallback read)
{
    forwardedCalls_.readDocument(std::move(read));
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
    publisher_.restoreCount(count);
}

std::uint32_t PooledControlNode::entryHostCount() const
{
    return publisher_.count();
}

void PooledControlNode::pushEndpoints(const std::vector<EndpointRecord> &changed,
                                      const std::vector<EndpointGone> &gone)
{
    publisher_.pushEndpoints(changed, gone);
}

void PooledControlNode::pushPrimary(const PrimaryRecord &record)
{
    publisher_.pushPrimary(record);
}

void PooledControlNode::shareEndpoints(const std::vector<EndpointRecord> &endpoints,
                                       const std::vector<EndpointGone> &gone)
{
    DeploymentUpdate update;
    update.endpoints = endpoints;
    update.gone = gone;
    peers_.sendAll(update);
}

void PooledControlNode::requestEvidence(const std::string &service, const std::string &endpoint,
                                        const std::vector<std::string> &hosts)
{
    publisher_.requestEvidence(service, endpoint, hosts);
}

std::vector<std::string> PooledControlNode::connectedEntryHosts() const
{
    return publisher_.connected();
}

std::optional<std::string> PooledControlNode::primaryOf(const std::string &service) const
{
    const auto found = publisher_.primaries().find(service);
    return found == publisher_.primaries().end() || found->second.endpoint.empty()
               ? std::nullopt
               : std::optional{found->second.endpoint};
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
    timer->expires_after(transferDelay);
    timer->async_wait([weak = std::weak_ptr{alive_}, timer,
                       stopped = std::move(stopped)](const boost::system::error_code & /*error*/) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        (*self)->peers_.sendAll(LeaveRequest{(*self)->settings_.name});
        timer->expires_after(leaveDelay);
        timer->async_wait(
            [timer, stopped](const boost::system::error_code & /*failed*/) { stopped(); });
    });
}

} // namespace hyssoprock
