// The connections that other processes have opened to a control host: entry hosts, other control
// hosts and operators.

#include <set>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/control/control_node.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/replicated/raft_frames.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t visitorsMax = 4096;

} // namespace

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
    auto message = raftMessageIn(frame);
    if (message.has_error()) {
        return message.as_failure();
    }
    if (!message.value()) {
        return failure(ErrorKind::ProtocolViolation,
                       "frame type " + std::to_string(static_cast<unsigned>(frame.type))
                           + " is not expected here");
    }
    if (senderOf(*message.value()) != visitor.process) {
        return failure(ErrorKind::ProtocolViolation, "the message names another sender");
    }
    raft_.receive(std::move(*message.value()));
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

} // namespace hyssoprock
