#include <hyssoprock/pooler/control_peers.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Room for a few of the largest messages. If a host does not read and its connection is closed,
// nothing is lost: Raft resends unacknowledged entries and forwarded calls are retried.
constexpr std::size_t outputBytesMax = std::size_t{16} * 1024 * 1024;

} // namespace

ControlPeers::ControlPeers(boost::asio::io_context &context, std::string name, std::uint64_t seed)
    : context_{context}
    , name_{std::move(name)}
    , random_{seed}
{}

void ControlPeers::start(std::uint16_t port, Handlers handlers)
{
    port_ = port;
    handlers_ = std::move(handlers);
}

void ControlPeers::open(const std::string &host, Instant now)
{
    if (peers_.contains(host)) {
        return;
    }
    const auto address = parseAddress(toString(SocketAddress{host, port_}));
    if (address.has_error()) {
        return;
    }
    auto client = std::make_unique<FrameClient>(context_, address.value(),
                                                HandshakeRequest{name_, "control"}, random_.next());
    client->setLimits(StreamLimits{.outputBytesMax = outputBytesMax});
    FrameClient::Handlers handlers;
    handlers.connected = [this, host]() {
        if (const auto found = peers_.find(host); found != peers_.end()) {
            found->second.lastReceivedAt = monotonicNow();
            found->second.connectionNumber = ++lastConnectionNumber_;
            handlers_.up(host);
        }
    };
    handlers.frame = [this, host](const Frame &frame) {
        if (const auto found = peers_.find(host); found != peers_.end()) {
            found->second.lastReceivedAt = monotonicNow();
            handlers_.frame(host, frame);
        }
    };
    handlers.disconnected = [](const Error & /*error*/) {};
    auto &peer = peers_.emplace(host, Peer{std::move(client), now}).first->second;
    peer.client->start(std::move(handlers));
}

void ControlPeers::sync(const std::vector<std::string> &known, Instant now)
{
    std::erase_if(peers_, [&](const auto &item) {
        return !std::binary_search(known.begin(), known.end(), item.first);
    });
    for (const auto &host : known) {
        open(host, now);
    }
}

void ControlPeers::closeSilent(Instant now, Duration timeout)
{
    std::erase_if(peers_, [&](const auto &item) {
        const auto lastReceivedAt =
            std::max(item.second.lastReceivedAt, item.second.client->receivedAt());
        return item.second.client->isUp() && now - lastReceivedAt > timeout;
    });
}

std::optional<Instant> ControlPeers::lastReceivedAt(const std::string &host) const
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? std::nullopt : std::optional{found->second.lastReceivedAt};
}

bool ControlPeers::isUp(const std::string &host) const
{
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.client->isUp();
}

std::uint64_t ControlPeers::connectionNumber(const std::string &host) const
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? 0 : found->second.connectionNumber;
}

std::vector<std::string> ControlPeers::connected() const
{
    std::vector<std::string> hosts;
    for (const auto &[host, peer] : peers_) {
        if (peer.client->isUp()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace hyssoprock
