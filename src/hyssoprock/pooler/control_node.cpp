#include <hyssoprock/pooler/control_node.hpp>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/registry/entry_report_schedule.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t visitorsMax = 1024;
constexpr Duration tickInterval = milliseconds{100};
constexpr Duration keepAliveInterval = milliseconds{500};
constexpr Duration silenceLimit = seconds{2};
// A follower that has heard from no leader for this long may lack newer entries.
constexpr Duration confidenceLimit = seconds{1};
// Keeps the count steady while an entry host reconnects.
constexpr Duration entryHostLifetime = seconds{10};
// Operators wait for one second; this leaves time for the answer.
constexpr Duration callLimit = milliseconds{800};
constexpr Duration attemptLimit = milliseconds{300};
constexpr Duration retryPause = milliseconds{20};
// Time for the new leader's election before it is asked to replace this host.
constexpr Duration transferTime = milliseconds{250};
constexpr Duration leaveTime = milliseconds{200};
// Least time between two reports of an entry host.
constexpr std::uint32_t reportIntervalMs = 1000;

const std::string &sender(const RaftMessage &message)
{
    return std::visit([](const auto &body) -> const std::string & { return body.from; }, message);
}

/// Reads a Raft message of any type; nothing for a frame of another type.
template <class... Messages>
Result<std::optional<RaftMessage>> raftMessageIn(const Frame &frame,
                                                 std::variant<Messages...> * /*types*/)
{
    Result<std::optional<RaftMessage>> result = std::optional<RaftMessage>{};
    const auto attempt = [&]<class Message>(std::in_place_type_t<Message> /*type*/) {
        if (!holds<Message>(frame)) {
            return;
        }
        auto message = messageIn<Message>(frame);
        if (message.has_error()) {
            result = message.as_failure();
        } else {
            result = std::optional<RaftMessage>{std::move(message.value())};
        }
    };
    (attempt(std::in_place_type<Messages>), ...);
    return result;
}

Result<void> done()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

PoolerControlNode::PoolerControlNode(boost::asio::io_context &context, ControlNodeSettings settings,
                                     std::uint64_t seed)
    : context_{context}
    , settings_{std::move(settings)}
    , random_{seed}
    , membership_{{settings_.name, settings_.seeds, settings_.bootstrap,
                   settings_.failuresTolerated}}
    , listener_{context}
    , timer_{context, [this]() { tick(); }}
    , callTimer_{context, [this]() { advanceCalls(); }}
    , alive_{std::make_shared<PoolerControlNode *>(this)}
{}

PoolerControlNode::~PoolerControlNode()
{
    for (auto &[id, visitor] : visitors_) {
        visitor.connection->close();
    }
}

Result<std::vector<std::string>> PoolerControlNode::founders()
{
    // Kept on disk: a power loss during the first start must not leave hosts that have voted but
    // no longer know with whom, as they are not told again that the system starts.
    PosixFileSystem files;
    BOOST_OUTCOME_TRYV(files.createFolder(settings_.dataFolder));
    DurableValue value{files, settings_.dataFolder, "founders"};
    BOOST_OUTCOME_TRY(const auto stored, value.load());
    if (stored) {
        BOOST_OUTCOME_TRY(auto list, decode<VoterList>(*stored));
        return std::move(list.voters);
    }
    auto voters = initialVoters({settings_.name, settings_.seeds, settings_.bootstrap, 0});
    if (!voters.empty()) {
        BOOST_OUTCOME_TRYV(value.store(encode(VoterList{voters})));
    }
    return voters;
}

Result<SocketAddress> PoolerControlNode::start()
{
    BOOST_OUTCOME_TRY(auto voters, founders());
    raft_ = std::make_unique<RaftHost>(context_, RaftIdentity{settings_.name, std::move(voters)},
                                       settings_.raft, settings_.dataFolder + "/raft", replica_,
                                       random_.next());
    RaftHost::Handlers handlers;
    handlers.send = [this](const std::string &to, const RaftMessage &message) {
        std::visit([&](const auto &body) { sendTo(to, body); }, message);
    };
    handlers.role = [this](bool leading, std::uint64_t /*term*/, const std::string & /*leader*/) {
        if (leading != leading_) {
            leading_ = leading;
            if (leadershipChanged_) {
                leadershipChanged_(leading);
            }
        }
    };
    BOOST_OUTCOME_TRYV(raft_->start(std::move(handlers)));
    BOOST_OUTCOME_TRY(auto address, listener_.open(settings_.internal,
                                                   [this](boost::asio::ip::tcp::socket socket) {
                                                       accept(std::move(socket));
                                                   }));
    settings_.internal.port = address.port;
    tick();
    return address;
}

void PoolerControlNode::accept(boost::asio::ip::tcp::socket socket)
{
    if (visitors_.size() >= visitorsMax) {
        writeLog(LogLevel::Warning, LogComponent::Wire, "refused a connection: too many are open");
        return;
    }
    const auto id = nextVisitor_++;
    auto connection = std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
    visitors_.emplace(id, Visitor{connection, monotonicNow()});
    FrameConnection::Handlers handlers;
    handlers.frame = [this, id](const Frame &frame) { take(id, frame); };
    handlers.closed = [this, id](const Error &error) {
        if (error.kind != ErrorKind::Unreachable) {
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     "closed the connection of " + visitors_[id].process + ": " + error.detail);
        }
        // Not erased at once: a send to every visitor may have found the error.
        boost::asio::post(context_, [weak = std::weak_ptr{alive_}, id]() {
            if (const auto self = weak.lock()) {
                (*self)->visitors_.erase(id);
            }
        });
    };
    connection->start(std::move(handlers));
}

void PoolerControlNode::take(std::uint64_t id, const Frame &frame)
{
    const auto found = visitors_.find(id);
    if (found == visitors_.end()) {
        return;
    }
    const auto now = monotonicNow();
    found->second.heardAt = now;
    if (found->second.role == "control") {
        membership_.learn(found->second.process, now);
    } else if (found->second.subscribed) {
        entryHostSeen_[found->second.process] = now;
    }
    const auto result = dispatch(id, found->second, frame);
    if (result.has_value()) {
        return;
    }
    const auto again = visitors_.find(id);
    if (again == visitors_.end()) {
        return;
    }
    const auto connection = again->second.connection;
    writeLog(LogLevel::Warning, LogComponent::Wire,
             "refused a message of " + connection->peer() + ": " + result.error().detail);
    connection->sendMessage(ErrorResponse{result.error().kind, result.error().detail});
    // Closed after the answer has had a chance to leave.
    boost::asio::post(context_, [weak = std::weak_ptr{alive_}, id, connection]() {
        connection->close();
        if (const auto self = weak.lock()) {
            (*self)->visitors_.erase(id);
        }
    });
}

Result<void> PoolerControlNode::dispatch(std::uint64_t id, Visitor &visitor, const Frame &frame)
{
    if (visitor.role.empty() && holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<SubscribeRequest>(frame));
        if (request.host.empty()) {
            return failure(ErrorKind::InvalidValue, "the subscription names no host");
        }
        visitor.process = request.host;
        visitor.role = "entry";
        return takeEntry(visitor, frame);
    }
    if (visitor.role.empty()) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<HandshakeRequest>(frame));
        if ((request.role != "entry" && request.role != "control" && request.role != "operator")
            || request.process.empty()) {
            return failure(ErrorKind::InvalidValue, "unknown role \"" + request.role + "\"");
        }
        visitor.process = request.process;
        visitor.role = request.role;
        return done();
    }
    if (holds<KeepAlive>(frame)) {
        BOOST_OUTCOME_TRYV(messageIn<KeepAlive>(frame));
        return done();
    }
    if (visitor.role == "operator") {
        return takeOperator(id, frame);
    }
    return visitor.role == "entry" ? takeEntry(visitor, frame) : takeControl(id, visitor, frame);
}

Result<void> PoolerControlNode::takeEntry(Visitor &visitor, const Frame &frame)
{
    if (holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<SubscribeRequest>(frame));
        if (request.host != visitor.process) {
            return failure(ErrorKind::ProtocolViolation, "the subscription names another host");
        }
        visitor.subscribed = true;
        visitor.complete = false;
        visitor.provisional = false;
        visitor.newest.reset();
        visitor.documentVersion = request.documentVersion;
        visitor.dataCentre = request.dataCentre;
        visitor.report.reset();
        entryHostSeen_[visitor.process] = monotonicNow();
        updateEntryHosts();
        visitor.connection->sendMessage(EntryReportRequest{reportIntervalMs});
        return done();
    }
    if (holds<EntryReport>(frame)) {
        BOOST_OUTCOME_TRY(auto report, messageIn<EntryReport>(frame));
        mergeReport(visitor.report, std::move(report));
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

Result<void> PoolerControlNode::takeControl(std::uint64_t id, const Visitor &visitor,
                                            const Frame &frame)
{
    const auto now = monotonicNow();
    BOOST_OUTCOME_TRY(auto message, raftMessageIn(frame, static_cast<RaftMessage *>(nullptr)));
    if (message) {
        if (sender(*message) != visitor.process) {
            return failure(ErrorKind::ProtocolViolation, "the message names another sender");
        }
        takeRaft(std::move(*message));
        return done();
    }
    if (holds<JoinRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<JoinRequest>(frame));
        const auto *node = raft_->node();
        const auto leader = node != nullptr ? node->leader() : std::string{};
        if (const auto to = membership_.receive(request, visitor.process, leader, now)) {
            sendTo(*to, request);
        }
        return done();
    }
    if (holds<LeaveRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<LeaveRequest>(frame));
        if (request.host != visitor.process) {
            return failure(ErrorKind::ProtocolViolation, "the request names another host");
        }
        membership_.receive(request, now);
        return done();
    }
    if (holds<ForwardedCall>(frame)) {
        BOOST_OUTCOME_TRY(const auto call, messageIn<ForwardedCall>(frame));
        takeForwarded(id, call);
        return done();
    }
    BOOST_OUTCOME_TRY(const auto update, messageIn<DeploymentUpdate>(frame));
    for (const auto &host : update.controlHosts) {
        if (!peers_.contains(host)) {
            membership_.learn(host, now);
        }
    }
    if (endpointsShared_ && !(update.endpoints.empty() && update.gone.empty())) {
        endpointsShared_(update.endpoints, update.gone);
    }
    return done();
}

void PoolerControlNode::takeRaft(RaftMessage message)
{
    const auto from = sender(message);
    const auto *append = std::get_if<AppendRequest>(&message);
    const auto commit = append != nullptr ? append->commitIndex : 0;
    const auto leading = append != nullptr || std::holds_alternative<SnapshotRequest>(message);
    raft_->receive(std::move(message));
    const auto *node = raft_->node();
    if (leading && node != nullptr && node->leader() == from) {
        leaderSeen_ = monotonicNow();
        leaderCommit_ = append != nullptr ? commit : leaderCommit_;
    }
}

bool PoolerControlNode::confident(Instant now) const
{
    const auto *node = raft_->node();
    if (node == nullptr) {
        return false;
    }
    return isLeader()
           || (!node->leader().empty() && leaderSeen_ && now - *leaderSeen_ <= confidenceLimit
               && node->commitIndex() >= leaderCommit_ && node->termCommitted());
}

bool PoolerControlNode::isLeader() const
{
    const auto *node = raft_ ? raft_->node() : nullptr;
    return node != nullptr && node->leaderReady() && raft_->leaseValid();
}

void PoolerControlNode::propose(const ControlCommand &command, Proposed completed)
{
    raft_->propose(encode(command),
                   [this, completed = std::move(completed)](const Result<void> &result) {
                       if (!completed) {
                           return;
                       }
                       if (result.has_error()) {
                           completed(result.as_failure());
                       } else {
                           completed(replica_.lastResult());
                       }
                   });
}

void PoolerControlNode::serve(const ForwardedCall &call,
                              std::function<void(Result<VersionedDocument>)> served)
{
    if (!isLeader()) {
        served(failure(ErrorKind::NotLeader, {}));
        return;
    }
    const auto &current = state();
    if (!call.put) {
        served(VersionedDocument{current.version(), current.document()});
        return;
    }
    if (call.version <= current.version()) {
        served(VersionedDocument{});
        return;
    }
    propose(ControlCommand{PutDocument{call.version, call.document}},
            [served = std::move(served)](const Result<ControlResult> &result) {
                if (result.has_error()) {
                    served(result.as_failure());
                } else {
                    served(VersionedDocument{});
                }
            });
}

void PoolerControlNode::takeForwarded(std::uint64_t id, const ForwardedCall &call)
{
    serve(call, [this, id, request = call.request](const Result<VersionedDocument> &result) {
        const auto visitor = visitors_.find(id);
        if (visitor == visitors_.end()) {
            return;
        }
        ForwardedAnswer answer;
        answer.request = request;
        if (result.has_error()) {
            answer.error = result.error().kind;
        } else {
            answer.version = result.value().first;
            answer.document = result.value().second;
        }
        visitor->second.connection->sendMessage(answer);
    });
}

void PoolerControlNode::takeAnswer(const ForwardedAnswer &answer)
{
    if (answer.error == ErrorKind::None) {
        settle(answer.request, VersionedDocument{answer.version, answer.document});
    } else {
        settle(answer.request, failure(answer.error, {}));
    }
}

void PoolerControlNode::putDocument(std::uint64_t version, const std::string &document,
                                    DocumentStored stored)
{
    begin(ForwardedCall{nextCall_, true, version, document},
          [stored = std::move(stored)](const Result<VersionedDocument> &result) {
              if (result.has_error()) {
                  stored(result.as_failure());
              } else {
                  stored(BOOST_OUTCOME_V2_NAMESPACE::success());
              }
          });
}

void PoolerControlNode::readDocument(DocumentRead read)
{
    begin(ForwardedCall{nextCall_, false, 0, {}}, std::move(read));
}

void PoolerControlNode::begin(ForwardedCall request,
                              std::function<void(Result<VersionedDocument>)> called)
{
    const auto id = nextCall_++;
    const auto now = monotonicNow();
    calls_.emplace(id, Call{std::move(request), now + callLimit, now, {}, std::move(called)});
    attempt(id);
    armCalls();
}

void PoolerControlNode::attempt(std::uint64_t id)
{
    auto &call = calls_.at(id);
    const auto now = monotonicNow();
    call.retryAt = now + attemptLimit;
    if (isLeader()) {
        const auto request = call.request;
        serve(request, [this, id](const Result<VersionedDocument> &result) { settle(id, result); });
        return;
    }
    call.target = chooseTarget(call.target);
    if (call.target.empty() || !sendTo(call.target, call.request)) {
        call.retryAt = now + retryPause;
    }
}

std::string PoolerControlNode::chooseTarget(const std::string &last) const
{
    const auto up = [this](const std::string &host) {
        const auto found = peers_.find(host);
        return found != peers_.end() && found->second.client->isUp();
    };
    const auto *node = raft_->node();
    if (node != nullptr && node->leader() != last && up(node->leader())) {
        return node->leader();
    }
    // A spare is told of no leader; it asks one host after the other.
    std::vector<std::string> hosts;
    for (const auto &[host, peer] : peers_) {
        if (peer.client->isUp()) {
            hosts.push_back(host);
        }
    }
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), last);
    if (next != hosts.end()) {
        return *next;
    }
    return hosts.empty() ? std::string{} : hosts.front();
}

void PoolerControlNode::settle(std::uint64_t id, Result<VersionedDocument> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    // Both calls can be repeated: a version that is stored already is acknowledged.
    const auto now = monotonicNow();
    if (result.has_error() && now < found->second.deadline) {
        found->second.retryAt = now + retryPause;
        armCalls();
        return;
    }
    const auto finished = std::move(found->second.done);
    calls_.erase(found);
    if (result.has_error()) {
        finished(failure(ErrorKind::Unreachable, "no control leader has answered"));
    } else {
        finished(std::move(result));
    }
}

void PoolerControlNode::advanceCalls()
{
    const auto now = monotonicNow();
    std::vector<std::uint64_t> due;
    for (const auto &[id, call] : calls_) {
        if (now >= std::min(call.retryAt, call.deadline)) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        if (now >= found->second.deadline) {
            settle(id, failure(ErrorKind::Unreachable, {}));
        } else {
            attempt(id);
        }
    }
    armCalls();
}

void PoolerControlNode::armCalls()
{
    std::optional<Instant> next;
    for (const auto &[id, call] : calls_) {
        const auto at = std::min(call.retryAt, call.deadline);
        next = next ? std::min(*next, at) : at;
    }
    callTimer_.set(next);
}

void PoolerControlNode::tick()
{
    const auto now = monotonicNow();
    closeSilent(now);
    tickMembership(now);
    syncPeers(now);
    if (now - keepAliveAt_ >= keepAliveInterval) {
        keepAliveAt_ = now;
        keepAlive();
    }
    std::erase_if(entryHostSeen_,
                  [now](const auto &item) { return now - item.second > entryHostLifetime; });
    updateEntryHosts();
    timer_.set(now + tickInterval);
}

void PoolerControlNode::tickMembership(Instant now)
{
    ControlGroupView view;
    if (const auto *node = raft_->node()) {
        view.leading = isLeader();
        view.term = node->term();
        view.leader = node->leader();
        view.leaderSeen = leaderSeen_;
        view.voters = node->voterStatus();
    }
    const auto actions = membership_.tick(view, now);
    if (stopping_) {
        return;
    }
    for (const auto &host : actions.askToJoin) {
        sendTo(host, JoinRequest{settings_.name});
    }
    if (actions.cancelJoin) {
        raft_->cancelJoin();
    }
    if (actions.add) {
        changeVoters(*actions.add, true);
    } else if (actions.remove) {
        changeVoters(*actions.remove, false);
    }
}

void PoolerControlNode::changeVoters(const std::string &host, bool add)
{
    writeLog(LogLevel::Info, LogComponent::Raft,
             (add ? "adding voter " : "removing voter ") + host);
    openPeer(host, monotonicNow());
    raft_->changeVoters(host, add, [this, host](const Result<void> &result) {
        if (result.has_error()) {
            writeLog(LogLevel::Warning, LogComponent::Raft,
                     "the change of voter " + host + " failed: " + result.error().detail);
        }
        membership_.changeFinished(result.has_value());
    });
}

void PoolerControlNode::syncPeers(Instant now)
{
    const auto known = membership_.knownHosts();
    std::erase_if(peers_, [&](const auto &item) {
        return !std::binary_search(known.begin(), known.end(), item.first);
    });
    for (const auto &host : known) {
        openPeer(host, now);
    }
}

void PoolerControlNode::openPeer(const std::string &host, Instant now)
{
    if (peers_.contains(host)) {
        return;
    }
    const auto address = parseAddress(toString(SocketAddress{host, settings_.internal.port}));
    if (address.has_error()) {
        return;
    }
    auto client = std::make_unique<FrameClient>(
        context_, address.value(), HandshakeRequest{settings_.name, "control"}, random_.next());
    FrameClient::Handlers handlers;
    handlers.up = [this, host]() {
        if (const auto found = peers_.find(host); found != peers_.end()) {
            found->second.heardAt = monotonicNow();
            found->second.client->send(
                DeploymentUpdate{false, 0, {}, {}, {}, {}, 0, membership_.presentHosts()});
        }
    };
    handlers.frame = [this, host](const Frame &frame) {
        const auto found = peers_.find(host);
        if (found == peers_.end()) {
            return;
        }
        found->second.heardAt = monotonicNow();
        membership_.learn(host, monotonicNow());
        if (const auto answer = messageIn<ForwardedAnswer>(frame); answer.has_value()) {
            takeAnswer(answer.value());
        } else if (const auto refused = messageIn<ErrorResponse>(frame); refused.has_value()) {
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     host + " refused a message: " + refused.value().detail);
        }
    };
    handlers.down = [](const Error & /*error*/) {};
    auto &peer = peers_.emplace(host, Peer{std::move(client), now}).first->second;
    peer.client->start(std::move(handlers));
}

template <class Message>
bool PoolerControlNode::sendTo(const std::string &host, const Message &message)
{
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.client->send(message);
}

void PoolerControlNode::closeSilent(Instant now)
{
    for (auto visitor = visitors_.begin(); visitor != visitors_.end();) {
        if (now - visitor->second.heardAt > silenceLimit) {
            visitor->second.connection->close();
            visitor = visitors_.erase(visitor);
        } else {
            ++visitor;
        }
    }
    // syncPeers() opens a new connection in place of the silent one.
    std::erase_if(peers_, [now](const auto &item) {
        return item.second.client->isUp() && now - item.second.heardAt > silenceLimit;
    });
}

void PoolerControlNode::keepAlive()
{
    const KeepAlive message{++keepAlives_};
    for (const auto &[id, visitor] : visitors_) {
        if (!visitor.role.empty()) {
            visitor.connection->sendMessage(message);
        }
    }
    for (const auto &[host, peer] : peers_) {
        peer.client->send(message);
    }
}

void PoolerControlNode::updateEntryHosts()
{
    const auto entryHosts = entryHostCount();
    const auto controlHosts = membership_.presentHosts();
    for (auto &[id, visitor] : visitors_) {
        if (visitor.subscribed) {
            askNewest(id, visitor);
            updateEntryHost(visitor, entryHosts, controlHosts);
        }
    }
}

std::uint32_t PoolerControlNode::entryHostCount() const
{
    const auto present = static_cast<std::uint32_t>(entryHostSeen_.size());
    return monotonicNow() < assumedUntil_ ? std::max(present, assumedEntryHosts_) : present;
}

void PoolerControlNode::assumeCommitted(std::uint64_t version) noexcept
{
    replica_.assumeCommitted(version);
}

void PoolerControlNode::assumeEntryHosts(std::uint32_t count)
{
    assumedEntryHosts_ = count;
    assumedUntil_ = monotonicNow() + entryHostLifetime;
}

void PoolerControlNode::askNewest(std::uint64_t id, Visitor &visitor)
{
    // A follower's last heartbeat may be older than a document that was acknowledged just before
    // the subscription; only the leader knows.
    if (visitor.newest || visitor.asking) {
        return;
    }
    visitor.asking = true;
    readDocument([this, id](const Result<VersionedDocument> &result) {
        const auto found = visitors_.find(id);
        if (found == visitors_.end()) {
            return;
        }
        found->second.asking = false;
        if (result.has_value()) {
            found->second.newest = result.value().first;
        }
    });
}

void PoolerControlNode::updateEntryHost(Visitor &visitor, std::uint32_t entryHosts,
                                        const std::vector<std::string> &controlHosts)
{
    DeploymentUpdate update;
    update.complete = !visitor.complete;
    const auto current = visitor.newest && state().version() >= *visitor.newest;
    const auto assured = confident(monotonicNow());
    if (update.complete && !(current && assured)) {
        if (!assured) {
            updateProvisionally(visitor, entryHosts, controlHosts);
        }
        return;
    }
    update.documentVersion = state().version();
    const auto newer = state().version() > visitor.documentVersion;
    if (newer) {
        update.document = state().document();
    }
    if (entryHosts != visitor.entryHosts || update.complete) {
        update.entryHosts = entryHosts;
    }
    if (controlHosts != visitor.controlHosts || update.complete) {
        update.controlHosts = controlHosts;
    }
    if (update.complete) {
        for (const auto &[id, endpoint] : endpoints_) {
            update.endpoints.push_back(endpoint);
        }
        for (const auto &[service, primary] : primaries_) {
            update.primaries.push_back(primary);
        }
    } else if (!newer && update.entryHosts == 0 && update.controlHosts.empty()) {
        return;
    }
    visitor.complete = true;
    visitor.documentVersion = std::max(visitor.documentVersion, state().version());
    visitor.entryHosts = entryHosts;
    visitor.controlHosts = controlHosts;
    visitor.connection->sendMessage(update);
}

void PoolerControlNode::updateProvisionally(Visitor &visitor, std::uint32_t entryHosts,
                                            const std::vector<std::string> &controlHosts)
{
    // After a restart of all hosts, an entry host serves with the newest document that a control
    // host knows to be committed until a leader is elected. A newer one replaces it, never an
    // older one.
    const auto newest = replica_.newestKnown();
    if (visitor.provisional || visitor.documentVersion != 0 || newest.version == 0) {
        return;
    }
    DeploymentUpdate update;
    update.complete = true;
    update.documentVersion = newest.version;
    update.document = newest.document;
    update.entryHosts = entryHosts;
    update.controlHosts = controlHosts;
    for (const auto &[id, endpoint] : endpoints_) {
        update.endpoints.push_back(endpoint);
    }
    visitor.provisional = true;
    visitor.connection->sendMessage(update);
}

void PoolerControlNode::toEntryHosts(const std::string &frame)
{
    for (const auto &[id, visitor] : visitors_) {
        if (visitor.subscribed && (visitor.complete || visitor.provisional)) {
            visitor.connection->send(frame);
        }
    }
}

void PoolerControlNode::pushEndpoints(const std::vector<EndpointRecord> &changed,
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
    update.documentVersion = state().version();
    update.endpoints = changed;
    update.gone = gone;
    toEntryHosts(frameOf(update));
}

void PoolerControlNode::pushPrimary(const PrimaryRecord &record)
{
    auto &known = primaries_[record.service];
    if (record.epoch < known.epoch) {
        return;
    }
    known = record;
    DeploymentUpdate update;
    update.documentVersion = state().version();
    update.primaries.push_back(record);
    toEntryHosts(frameOf(update));
}

void PoolerControlNode::shareEndpoints(const std::vector<EndpointRecord> &endpoints,
                                       const std::vector<EndpointGone> &gone)
{
    DeploymentUpdate update;
    update.endpoints = endpoints;
    update.gone = gone;
    for (const auto &[host, peer] : peers_) {
        peer.client->send(update);
    }
}

void PoolerControlNode::askEvidence(const std::string &service, const std::string &endpoint)
{
    const auto frame = frameOf(EvidenceRequest{service, endpoint});
    for (const auto &[id, visitor] : visitors_) {
        if (visitor.subscribed) {
            visitor.connection->send(frame);
        }
    }
}

std::vector<std::string> PoolerControlNode::connectedEntryHosts() const
{
    std::set<std::string> names;
    for (const auto &[id, visitor] : visitors_) {
        if (visitor.subscribed) {
            names.insert(visitor.process);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<std::string> PoolerControlNode::voters() const
{
    return raft_ ? raft_->voters() : std::vector<std::string>{};
}

void PoolerControlNode::stop(std::function<void()> stopped)
{
    stopping_ = true;
    listener_.close();
    raft_->transferLeadership();
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(transferTime);
    timer->async_wait([weak = std::weak_ptr{alive_}, timer,
                       stopped = std::move(stopped)](const boost::system::error_code & /*error*/) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        for (const auto &[host, peer] : (*self)->peers_) {
            peer.client->send(LeaveRequest{(*self)->settings_.name});
        }
        timer->expires_after(leaveTime);
        timer->async_wait(
            [timer, stopped](const boost::system::error_code & /*failed*/) { stopped(); });
    });
}

} // namespace hyssoprock
