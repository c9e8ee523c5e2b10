#include <hyssoprock/daemon/control_node.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/endpoint_sql.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t visitorsMax = 4096;
constexpr Duration transferTime = std::chrono::milliseconds{200};

CoordinatorSettings coordinatorSettings(const Settings &settings)
{
    CoordinatorSettings result;
    result.host = settings.host.name;
    result.dataCentre = settings.host.dataCentre;
    result.lease = settings.lease;
    result.clockDriftPerMille = settings.raft.clockDriftPerMille;
    return result;
}

std::vector<std::string> initialVoters(const Settings &settings)
{
    std::vector<std::string> names;
    for (const auto &host : settings.control.hosts) {
        names.push_back(parseNamedAddress(host).value().name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

const std::string &sender(const RaftMessage &message)
{
    return std::visit([](const auto &body) -> const std::string & { return body.from; }, message);
}

/// Reads a Raft message of any type from a frame.
template <class... Messages>
Result<RaftMessage> raftMessageIn(const Frame &frame, std::variant<Messages...> * /*types*/)
{
    Result<RaftMessage> result =
        failure(ErrorKind::ProtocolViolation,
                "frame type " + std::to_string(static_cast<unsigned>(frame.type))
                    + " is not expected here");
    const auto attempt = [&]<class Message>(std::in_place_type_t<Message> /*type*/) {
        if (!holds<Message>(frame)) {
            return;
        }
        auto message = messageIn<Message>(frame);
        if (message.has_error()) {
            result = message.as_failure();
        } else {
            result = RaftMessage{std::move(message.value())};
        }
    };
    (attempt(std::in_place_type<Messages>), ...);
    return result;
}

} // namespace

ControlNode::ControlNode(boost::asio::io_context &context, const Settings &settings,
                         Metrics &metrics, std::uint64_t seed)
    : context_{context}
    , settings_{settings}
    , metrics_{metrics}
    , random_{seed}
    , replica_{[this](const CatalogCommand &command, const CatalogResult &result) {
        coordinate(CommandCommitted{command, result});
    }}
    , raft_{context,       RaftIdentity{settings.host.name, initialVoters(settings)},
            settings.raft, settings.host.dataFolder + "/raft",
            replica_,      random_.next()}
    , coordinator_{coordinatorSettings(settings), replica_.catalog(),
                   BudgetAllocator{settings.limits.reservedConnections}}
    , timer_{context, [this]() { coordinate(CoordinatorTick{}); }}
    , listener_{context}
{}

ControlNode::~ControlNode()
{
    for (auto &[id, visitor] : visitors_) {
        visitor.connection->close();
    }
}

Result<SocketAddress> ControlNode::start()
{
    RaftHost::Handlers handlers;
    handlers.send = [this](const std::string &to, const RaftMessage &message) {
        sendRaft(to, message);
    };
    handlers.role = [this](bool leading, std::uint64_t term, const std::string &leader) {
        roleChanged(leading, term, leader);
    };
    if (auto started = raft_.start(std::move(handlers)); started.has_error()) {
        return started.as_failure();
    }
    for (const auto &host : settings_.control.hosts) {
        auto named = parseNamedAddress(host).value();
        if (named.name == settings_.host.name) {
            continue;
        }
        auto client = std::make_unique<FrameClient>(
            context_, named.address, HandshakeRequest{settings_.host.name, "control"},
            random_.next());
        FrameClient::Handlers clientHandlers;
        // Answers come over the other host's own connection; only an ErrorResponse comes here.
        clientHandlers.frame = [name = named.name](const Frame &frame) {
            const auto response = messageIn<ErrorResponse>(frame);
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     name + " refused a message: "
                         + (response.has_value() ? response.value().detail : "unknown reason"));
        };
        client->start(std::move(clientHandlers));
        peers_.emplace(named.name, std::move(client));
    }
    return listener_.open(
        parseAddress(settings_.listen.control).value(),
        [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); });
}

void ControlNode::accept(boost::asio::ip::tcp::socket socket)
{
    if (visitors_.size() >= visitorsMax) {
        writeLog(LogLevel::Warning, LogComponent::Wire, "refused a connection: too many are open");
        return;
    }
    const auto id = nextVisitor_++;
    auto connection = std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
    visitors_.emplace(id, Visitor{connection});
    FrameConnection::Handlers handlers;
    handlers.frame = [this, id](const Frame &frame) { take(id, frame); };
    handlers.closed = [this, id](const Error &error) {
        if (error.kind != ErrorKind::Unreachable) {
            metrics_.countRefusedMessage("peer");
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     "closed the connection of " + visitors_[id].process + ": " + error.detail);
        }
        visitors_.erase(id);
    };
    connection->start(std::move(handlers));
}

void ControlNode::take(std::uint64_t visitor, const Frame &frame)
{
    const auto done = dispatch(visitor, frame);
    if (done.has_value()) {
        return;
    }
    const auto found = visitors_.find(visitor);
    if (found == visitors_.end()) {
        return;
    }
    metrics_.countRefusedMessage("peer");
    const auto connection = found->second.connection;
    writeLog(LogLevel::Warning, LogComponent::Wire,
             "refused a message of " + connection->peer() + ": " + done.error().detail);
    connection->sendMessage(ErrorResponse{done.error().kind, done.error().detail});
    // Closed after the answer has had a chance to leave.
    boost::asio::post(context_, [this, visitor, connection]() {
        connection->close();
        visitors_.erase(visitor);
    });
}

Result<void> ControlNode::dispatch(std::uint64_t id, const Frame &frame)
{
    auto &visitor = visitors_.at(id);
    if (visitor.role.empty()) {
        return handshake(visitor, frame);
    }
    if (visitor.role == "control") {
        return takeRaft(visitor, frame);
    }
    if (holds<HostRenewRequest>(frame) && visitor.role == "entry") {
        auto request = messageIn<HostRenewRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        if (request.value().host != visitor.process) {
            return failure(ErrorKind::ProtocolViolation, "the renewal names another host");
        }
        coordinate(RenewReceived{remember(id), std::move(request.value())});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (holds<StatusRequest>(frame)) {
        auto request = messageIn<StatusRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        coordinate(StatusReceived{remember(id), std::move(request.value())});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (visitor.role == "operator") {
        auto request = messageIn<OperatorRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        takeOperator(id, request.value());
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return failure(ErrorKind::ProtocolViolation,
                   "role " + visitor.role + " may not send this message");
}

Result<void> ControlNode::handshake(Visitor &visitor, const Frame &frame)
{
    const auto request = messageIn<HandshakeRequest>(frame);
    if (request.has_error()) {
        return request.as_failure();
    }
    static const std::set<std::string> roles{"entry", "control", "operator"};
    if (!roles.contains(request.value().role)) {
        return failure(ErrorKind::InvalidValue, "unknown role \"" + request.value().role + "\"");
    }
    visitor.process = request.value().process;
    visitor.role = request.value().role;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ControlNode::takeRaft(const Visitor &visitor, const Frame &frame)
{
    auto message = raftMessageIn(frame, static_cast<RaftMessage *>(nullptr));
    if (message.has_error()) {
        return message.as_failure();
    }
    if (sender(message.value()) != visitor.process) {
        return failure(ErrorKind::ProtocolViolation, "the message names another sender");
    }
    raft_.receive(std::move(message.value()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlNode::takeOperator(std::uint64_t visitor, const OperatorRequest &request)
{
    const auto id = remember(visitor);
    if (!request.controlHosts) {
        coordinate(OperatorReceived{id, request});
        return;
    }
    const auto &change = *request.controlHosts;
    writeLog(LogLevel::Info, LogComponent::Config,
             std::string{change.add ? "adding" : "removing"} + " control host " + change.host);
    raft_.changeVoters(change.host, change.add, [this, id](const Result<void> &result) {
        OperatorResponse response;
        response.revision = replica_.catalog().configuration().revision;
        if (result.has_error()) {
            response.kind = result.error().kind;
            response.detail = result.error().detail;
            if (response.kind == ErrorKind::NotLeader) {
                response.leader = result.error().detail;
            }
        }
        answer(id, response);
    });
}

RequestId ControlNode::remember(std::uint64_t visitor)
{
    requests_.emplace(nextRequest_, visitor);
    return nextRequest_++;
}

template <class Message>
void ControlNode::answer(RequestId request, const Message &message)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return;
    }
    const auto visitor = visitors_.find(found->second);
    requests_.erase(found);
    if (visitor != visitors_.end()) {
        visitor->second.connection->sendMessage(message);
    }
}

void ControlNode::sendRaft(const std::string &to, const RaftMessage &message)
{
    if (auto *client = peer(to)) {
        std::visit([&](const auto &body) { client->send(body); }, message);
    }
}

FrameClient *ControlNode::peer(const std::string &name)
{
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : found->second.get();
}

void ControlNode::roleChanged(bool leading, std::uint64_t term, const std::string &leader)
{
    metrics_.setRaft(term, leading);
    if (leading && !leading_) {
        leading_ = true;
        coordinate(LeadershipGained{term});
    } else if (!leading) {
        // Also tells a follower of another leader, so that it sends entry hosts to the right one.
        if (std::exchange(leading_, false)) {
            endpoints_.clear();
        }
        coordinate(LeadershipLost{leader});
    }
}

void ControlNode::coordinate(const CoordinatorEvent &event)
{
    auto actions = coordinator_.handle(event, monotonicNow(), raft_.leaseValid());
    for (auto &action : actions) {
        carryOut(std::move(action));
    }
    timer_.set(coordinator_.nextDeadline());
}

void ControlNode::carryOut(CoordinatorAction action)
{
    std::visit(Overloaded{
                   [&](const ProposeCommand &proposal) { raft_.propose(encode(proposal.command)); },
                   [&](const AnswerRenew &renewed) { answer(renewed.request, renewed.message); },
                   [&](const AnswerOperator &done) { answer(done.request, done.message); },
                   [&](AnswerStatus &status) {
                       status.message.controlHosts = raft_.voters();
                       status.message.term = raft_.term();
                       answer(status.request, status.message);
                   },
                   [&](const PushView &push) {
                       const auto bytes = frameOf(push.message);
                       for (const auto &[id, visitor] : visitors_) {
                           if (visitor.role == "entry") {
                               visitor.connection->send(bytes);
                           }
                       }
                   },
                   [&](const CallEndpoint &call) { callEndpoint(call); },
                   [](const WriteLog &line) {
                       writeLog(LogLevel::Info, LogComponent::Failover, line.text);
                   },
                   [&](const ReportFailover &failover) { report(failover.report); },
               },
               action);
}

void ControlNode::callEndpoint(const CallEndpoint &action)
{
    // An endpoint that restarts may announce another address.
    const auto key = action.endpoint + "=" + action.address;
    auto &connection = endpoints_[key];
    if (!connection) {
        const auto address = parseAddress(action.address);
        if (address.has_error()) {
            endpoints_.erase(key);
            boost::asio::post(context_, [this, call = action.call, error = address.error()]() {
                coordinate(EndpointCallFailed{call, error});
            });
            return;
        }
        connection = std::make_unique<StatusConnection>(
            context_, PgTarget{address.value(), "hyssoprock", "hyssoprock", "hyssoprock-control"});
    }
    connection->call(
        toSql(action.request), action.timeout,
        [this, call = action.call, request = action.request](const Result<PgAnswer> &answered) {
            if (answered.has_error()) {
                coordinate(EndpointCallFailed{
                    call, Error{ErrorKind::Unreachable, answered.error().detail}});
                return;
            }
            auto read = readAnswer(request, answered.value());
            if (read.has_error()) {
                coordinate(EndpointCallFailed{call, read.error()});
            } else {
                coordinate(EndpointAnswered{call, std::move(read.value())});
            }
        });
}

void ControlNode::report(const FailoverReport &report)
{
    // The coordinator writes the log line.
    metrics_.observeFailover("detection", report.detection);
    metrics_.observeFailover("earlier_terms", report.earlierTerms);
    metrics_.observeFailover("consensus", report.consensus);
    metrics_.observeFailover("fencing", report.fencing);
    metrics_.observeFailover("lease_wait", report.leaseWait);
    metrics_.observeFailover("promotion", report.promotion);
    metrics_.observeFailover("propagation", report.propagation);
    metrics_.observeFailover("total", report.total());
}

void ControlNode::stop(std::function<void()> done)
{
    stopping_ = true;
    listener_.close();
    raft_.transferLeadership();
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(transferTime);
    timer->async_wait(
        [timer, done = std::move(done)](const boost::system::error_code & /*error*/) { done(); });
}

} // namespace hyssoprock
