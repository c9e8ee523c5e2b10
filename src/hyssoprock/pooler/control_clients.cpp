#include <hyssoprock/pooler/control_clients.hpp>

#include <algorithm>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Limits the output queue of one client to a few of the largest messages.
constexpr std::size_t outputBytesMax = std::size_t{16} * 1024 * 1024;
// By default the kernel buffers up to several megabytes per connection with a slow reader. 128 KiB
// suffices for 100 Mbit/s at a round-trip time of 10 ms.
constexpr int sendBufferBytes = 128 * 1024;

} // namespace

ControlClients::ControlClients(boost::asio::io_context &context, Handlers handlers,
                               MemoryBounds memory, std::size_t connectionsMax)
    : context_{context}
    , handlers_{std::move(handlers)}
    , memory_{memory}
    , connectionsMax_{connectionsMax}
    , alive_{std::make_shared<ControlClients *>(this)}
{}

ControlClients::~ControlClients()
{
    for (auto &[id, client] : clients_) {
        client.connection->close();
    }
}

void ControlClients::accept(boost::asio::ip::tcp::socket socket)
{
    if (clients_.size() >= connectionsMax_) {
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 "refused a connection: too many connections are open");
        return;
    }
    const auto id = nextId_++;
    auto connection = std::make_shared<FrameConnection>(
        std::move(socket),
        StreamLimits{.outputBytesMax = outputBytesMax, .sendBufferBytes = sendBufferBytes});
    clients_.emplace(id, ControlClient{connection, monotonicNow()});
    FrameConnection::Handlers handlers;
    handlers.frame = [this, id](const Frame &frame) { handleFrame(id, frame); };
    handlers.closed = [this, id](const Error &error) {
        if (error.kind != ErrorKind::Unreachable) {
            const auto found = clients_.find(id);
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     "closed the connection of "
                         + (found == clients_.end() ? std::string{} : found->second.process) + ": "
                         + error.detail);
        }
        // The erasure is deferred: the error may have been found while iterating over all clients.
        scheduleErase(id);
    };
    handlers.buffered = [this, id](std::size_t bytes) { chargeInput(id, bytes); };
    connection->start(std::move(handlers));
}

void ControlClients::chargeInput(std::uint64_t id, std::size_t bytes)
{
    const auto decision = memory_.charge(id, {}, bytes);
    for (const auto closing : decision.toClose) {
        const auto found = clients_.find(closing);
        if (found == clients_.end()) {
            continue;
        }
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 "closed the connection of " + found->second.connection->peer()
                     + ": incomplete frames of all connections exceed their limit");
        const auto connection = found->second.connection;
        boost::asio::post(context_, [connection]() { connection->close(); });
        scheduleErase(closing);
    }
}

void ControlClients::scheduleErase(std::uint64_t id)
{
    boost::asio::post(context_, [weak = std::weak_ptr{alive_}, id]() {
        if (const auto self = weak.lock(); self && (*self)->clients_.erase(id) > 0) {
            (*self)->memory_.release(id);
            (*self)->handlers_.disconnected(id);
        }
    });
}

void ControlClients::handleFrame(std::uint64_t id, const Frame &frame)
{
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
        return;
    }
    found->second.lastReceivedAt = monotonicNow();
    handlers_.received(id, found->second);
    const auto result = dispatch(id, found->second, frame);
    if (result.has_value()) {
        return;
    }
    const auto current = clients_.find(id);
    if (current == clients_.end()) {
        return;
    }
    const auto connection = current->second.connection;
    writeLog(LogLevel::Warning, LogComponent::Wire,
             "refused a message from " + connection->peer() + ": " + result.error().detail);
    connection->sendMessage(ErrorResponse{result.error().kind, result.error().detail});
    // The close is deferred so that the error response can be written first.
    boost::asio::post(context_, [connection]() { connection->close(); });
    scheduleErase(id);
}

Result<void> ControlClients::dispatch(std::uint64_t id, ControlClient &client, const Frame &frame)
{
    if (client.role.empty() && holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<SubscribeRequest>(frame));
        if (request.host.empty()) {
            return failure(ErrorKind::InvalidValue, "the subscription has no host name");
        }
        client.process = request.host;
        client.role = "entry";
        return handlers_.frame(id, client, frame);
    }
    if (client.role.empty()) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<HandshakeRequest>(frame));
        if ((request.role != "entry" && request.role != "control" && request.role != "operator")
            || request.process.empty()) {
            return failure(ErrorKind::InvalidValue, "unknown role \"" + request.role + "\"");
        }
        client.process = request.process;
        client.role = request.role;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (holds<KeepAlive>(frame)) {
        BOOST_OUTCOME_TRYV(decodeMessage<KeepAlive>(frame));
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return handlers_.frame(id, client, frame);
}

void ControlClients::closeSilent(Instant now, Duration limit)
{
    std::vector<std::uint64_t> silent;
    for (const auto &[id, client] : clients_) {
        if (now - std::max(client.lastReceivedAt, client.connection->receivedAt()) > limit) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        closeClient(id);
    }
}

void ControlClients::closeClient(std::uint64_t id)
{
    clients_.at(id).connection->close();
    clients_.erase(id);
    memory_.release(id);
    handlers_.disconnected(id);
}

void ControlClients::limitQueuedBytes(std::size_t bytesMax)
{
    std::unordered_map<const std::string *, std::size_t> receivers;
    std::size_t total = 0;
    std::vector<std::pair<std::size_t, std::uint64_t>> queues;
    for (const auto &[id, client] : clients_) {
        for (const auto &frame : client.connection->queued()) {
            total += ++receivers[frame.get()] == 1 ? frame->size() : 0;
        }
        queues.emplace_back(client.connection->queuedBytes(), id);
    }
    std::sort(queues.begin(), queues.end(), std::greater<>{});
    for (auto longest = queues.begin(); total > bytesMax && longest != queues.end(); ++longest) {
        const auto &client = clients_.at(longest->second);
        for (const auto &frame : client.connection->queued()) {
            total -= --receivers[frame.get()] == 0 ? frame->size() : 0;
        }
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 "closed the connection of " + client.process + ": "
                     + std::to_string(longest->first)
                     + " bytes are queued for it and all queues exceed their limit");
        closeClient(longest->second);
    }
}

} // namespace hyssoprock
