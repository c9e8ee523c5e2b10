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

constexpr std::size_t visitorsMax = 1024;
// Bounds what waits for one visitor: a few of the largest messages.
constexpr std::size_t outputBytesMax = std::size_t{16} * 1024 * 1024;
// Left to itself, the kernel holds up to several megabytes for each connection with a slow reader.
// This is enough for 100 Mbit/s over a round trip of 10 ms.
constexpr int sendBufferBytes = 128 * 1024;

} // namespace

ControlClients::ControlClients(boost::asio::io_context &context, Handlers handlers)
    : context_{context}
    , handlers_{std::move(handlers)}
    , alive_{std::make_shared<ControlClients *>(this)}
{}

ControlClients::~ControlClients()
{
    for (auto &[id, visitor] : visitors_) {
        visitor.connection->close();
    }
}

void ControlClients::accept(boost::asio::ip::tcp::socket socket)
{
    if (visitors_.size() >= visitorsMax) {
        writeLog(LogLevel::Warning, LogComponent::Wire, "refused a connection: too many are open");
        return;
    }
    const auto id = next_++;
    auto connection = std::make_shared<FrameConnection>(
        std::move(socket),
        StreamLimits{.outputBytesMax = outputBytesMax, .sendBufferBytes = sendBufferBytes});
    visitors_.emplace(id, ControlClient{connection, monotonicNow()});
    FrameConnection::Handlers handlers;
    handlers.frame = [this, id](const Frame &frame) { take(id, frame); };
    handlers.closed = [this, id](const Error &error) {
        if (error.kind != ErrorKind::Unreachable) {
            const auto found = visitors_.find(id);
            writeLog(LogLevel::Warning, LogComponent::Wire,
                     "closed the connection of "
                         + (found == visitors_.end() ? std::string{} : found->second.process) + ": "
                         + error.detail);
        }
        // Not erased at once: a send to every visitor may have found the error.
        eraseLater(id);
    };
    connection->start(std::move(handlers));
}

void ControlClients::eraseLater(std::uint64_t id)
{
    boost::asio::post(context_, [weak = std::weak_ptr{alive_}, id]() {
        if (const auto self = weak.lock(); self && (*self)->visitors_.erase(id) > 0) {
            (*self)->handlers_.gone(id);
        }
    });
}

void ControlClients::take(std::uint64_t id, const Frame &frame)
{
    const auto found = visitors_.find(id);
    if (found == visitors_.end()) {
        return;
    }
    found->second.lastReceivedAt = monotonicNow();
    handlers_.heard(id, found->second);
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
    boost::asio::post(context_, [connection]() { connection->close(); });
    eraseLater(id);
}

Result<void> ControlClients::dispatch(std::uint64_t id, ControlClient &visitor, const Frame &frame)
{
    if (visitor.role.empty() && holds<SubscribeRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<SubscribeRequest>(frame));
        if (request.host.empty()) {
            return failure(ErrorKind::InvalidValue, "the subscription names no host");
        }
        visitor.process = request.host;
        visitor.role = "entry";
        return handlers_.frame(id, visitor, frame);
    }
    if (visitor.role.empty()) {
        BOOST_OUTCOME_TRY(const auto request, messageIn<HandshakeRequest>(frame));
        if ((request.role != "entry" && request.role != "control" && request.role != "operator")
            || request.process.empty()) {
            return failure(ErrorKind::InvalidValue, "unknown role \"" + request.role + "\"");
        }
        visitor.process = request.process;
        visitor.role = request.role;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (holds<KeepAlive>(frame)) {
        BOOST_OUTCOME_TRYV(messageIn<KeepAlive>(frame));
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return handlers_.frame(id, visitor, frame);
}

void ControlClients::closeSilent(Instant now, Duration limit)
{
    std::vector<std::uint64_t> silent;
    for (const auto &[id, visitor] : visitors_) {
        if (now - std::max(visitor.lastReceivedAt, visitor.connection->receivedAt()) > limit) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        drop(id);
    }
}

void ControlClients::drop(std::uint64_t id)
{
    visitors_.at(id).connection->close();
    visitors_.erase(id);
    handlers_.gone(id);
}

void ControlClients::limitQueuedBytes(std::size_t bytesMax)
{
    std::unordered_map<const std::string *, std::size_t> receivers;
    std::size_t total = 0;
    std::vector<std::pair<std::size_t, std::uint64_t>> queues;
    for (const auto &[id, visitor] : visitors_) {
        for (const auto &frame : visitor.connection->queued()) {
            total += ++receivers[frame.get()] == 1 ? frame->size() : 0;
        }
        queues.emplace_back(visitor.connection->queuedBytes(), id);
    }
    std::sort(queues.begin(), queues.end(), std::greater<>{});
    for (auto longest = queues.begin(); total > bytesMax && longest != queues.end(); ++longest) {
        const auto &visitor = visitors_.at(longest->second);
        for (const auto &frame : visitor.connection->queued()) {
            total -= --receivers[frame.get()] == 0 ? frame->size() : 0;
        }
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 "closed the connection of " + visitor.process + ": "
                     + std::to_string(longest->first) + " bytes were waiting for it");
        drop(longest->second);
    }
}

} // namespace hyssoprock
