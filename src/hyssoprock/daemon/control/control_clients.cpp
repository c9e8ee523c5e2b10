// Incoming connections of a control host: entry hosts, other control hosts and operators.

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

constexpr std::size_t clientCountMax = 4096;

} // namespace

void ControlNode::accept(boost::asio::ip::tcp::socket socket)
{
    if (clients_.size() >= clientCountMax) {
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 "refused a connection: too many open connections");
        return;
    }
    const auto id = nextClient_++;
    auto connection = std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
    clients_.emplace(id, Client{connection});
    FrameConnection::Handlers handlers;
    handlers.frame = [this, id](const Frame &frame) { handleFrame(id, frame); };
    handlers.closed = [this, id](const Error &error) {
        if (error.kind != ErrorKind::Unreachable) {
            metrics_.countRefusedMessage("peer");
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     "closed the connection of " + clients_[id].process + ": " + error.detail);
        }
        clients_.erase(id);
    };
    connection->start(std::move(handlers));
}

void ControlNode::handleFrame(std::uint64_t client, const Frame &frame)
{
    const auto done = dispatch(client, frame);
    if (done.has_value()) {
        return;
    }
    const auto found = clients_.find(client);
    if (found == clients_.end()) {
        return;
    }
    metrics_.countRefusedMessage("peer");
    const auto connection = found->second.connection;
    writeLog(LogLevel::Warning, LogComponent::Wire,
             "refused a message of " + connection->peer() + ": " + done.error().detail);
    connection->sendMessage(ErrorResponse{done.error().kind, done.error().detail});
    // Deferred, so that the answer can be sent before the connection is closed.
    boost::asio::post(context_, [this, client, connection]() {
        connection->close();
        clients_.erase(client);
    });
}

Result<void> ControlNode::dispatch(std::uint64_t id, const Frame &frame)
{
    auto &client = clients_.at(id);
    if (client.role.empty()) {
        return handleHandshake(client, frame);
    }
    if (client.role == "control") {
        return handleRaftMessage(client, frame);
    }
    if (holds<HostRenewRequest>(frame) && client.role == "entry") {
        auto request = decodeMessage<HostRenewRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        if (request.value().host != client.process) {
            return failure(ErrorKind::ProtocolViolation,
                           "the renewal contains the name of another host");
        }
        handleCoordinatorEvent(
            RenewRequestReceived{registerRequest(id), std::move(request.value())});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (holds<StatusRequest>(frame)) {
        auto request = decodeMessage<StatusRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        handleCoordinatorEvent(
            StatusRequestReceived{registerRequest(id), std::move(request.value())});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (client.role == "operator") {
        auto request = decodeMessage<OperatorRequest>(frame);
        if (request.has_error()) {
            return request.as_failure();
        }
        handleOperatorRequest(id, request.value());
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return failure(ErrorKind::ProtocolViolation,
                   "role " + client.role + " may not send this message");
}

Result<void> ControlNode::handleHandshake(Client &client, const Frame &frame)
{
    const auto request = decodeMessage<HandshakeRequest>(frame);
    if (request.has_error()) {
        return request.as_failure();
    }
    static const std::set<std::string> roles{"entry", "control", "operator"};
    if (!roles.contains(request.value().role)) {
        return failure(ErrorKind::InvalidValue, "unknown role \"" + request.value().role + "\"");
    }
    client.process = request.value().process;
    client.role = request.value().role;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ControlNode::handleRaftMessage(const Client &client, const Frame &frame)
{
    auto message = parseRaftMessage(frame);
    if (message.has_error()) {
        return message.as_failure();
    }
    if (!message.value()) {
        return failure(ErrorKind::ProtocolViolation,
                       "frame type " + std::to_string(static_cast<unsigned>(frame.type))
                           + " is not expected here");
    }
    if (senderOf(*message.value()) != client.process) {
        return failure(ErrorKind::ProtocolViolation,
                       "the message contains the name of another sender");
    }
    raft_.receive(std::move(*message.value()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlNode::handleOperatorRequest(std::uint64_t client, const OperatorRequest &request)
{
    const auto id = registerRequest(client);
    if (!request.controlHosts) {
        handleCoordinatorEvent(OperatorRequestReceived{id, request});
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

RequestId ControlNode::registerRequest(std::uint64_t client)
{
    requests_.emplace(nextRequest_, client);
    return nextRequest_++;
}

} // namespace hyssoprock
