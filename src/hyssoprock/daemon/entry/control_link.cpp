#include <hyssoprock/daemon/entry/control_link.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Delay before the next control host is tried. An election takes about a second, during which each
// host is tried several times.
constexpr Duration nextHostDelay = std::chrono::milliseconds{30};

} // namespace

ControlLink::ControlLink(boost::asio::io_context &context, const Settings &settings,
                         Metrics &metrics, std::uint64_t seed)
    : context_{context}
    , settings_{settings}
    , metrics_{metrics}
    , random_{seed}
    , timer_{context, [this]() {
                 nextRenewalAt_.reset();
                 renew();
             }}
{}

void ControlLink::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    for (const auto &text : settings_.control.hosts) {
        const auto named = parseNamedAddress(text).value();
        hosts_.push_back(
            Host{named.name, std::make_unique<FrameClient>(
                                 context_, named.address,
                                 HandshakeRequest{settings_.host.name, "entry"}, random_.next())});
    }
    currentHost_ = random_.below(hosts_.size());
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        FrameClient::Handlers client;
        client.connected = [this, i]() {
            if (i == currentHost_) {
                renewWithin(Duration::zero());
            }
        };
        client.frame = [this, i](const Frame &frame) { handleFrame(i, frame); };
        client.disconnected = [this, i](const Error &error) {
            writeLog(LogLevel::Debug, LogComponent::Wire,
                     "no connection to control host " + hosts_[i].name + ": " + error.detail);
            if (i == currentHost_) {
                tryNextHost();
            }
        };
        hosts_[i].client->start(std::move(client));
    }
    renewWithin(Duration::zero());
}

void ControlLink::renewWithin(Duration delay)
{
    if (stopped_) {
        return;
    }
    const auto at = monotonicNow() + delay;
    if (!nextRenewalAt_ || at < *nextRenewalAt_) {
        nextRenewalAt_ = at;
        timer_.set(nextRenewalAt_);
    }
}

void ControlLink::renew()
{
    if (stopped_) {
        return;
    }
    const auto now = monotonicNow();
    if (!responded_ && now - sentAt_ >= settings_.lease.renewInterval) {
        metrics_.countRenewal("failed");
        tryNextHost();
    }
    if (hosts_[currentHost_].client->isUp()) {
        auto request = handlers_.composeRenewal();
        request.sequence = ++lastSequence_;
        sentAt_ = now;
        responded_ = false;
        hosts_[currentHost_].client->send(request);
        renewWithin(settings_.lease.renewInterval);
    } else {
        tryNextHost();
        renewWithin(nextHostDelay);
    }
}

void ControlLink::tryNextHost()
{
    currentHost_ = (currentHost_ + 1) % hosts_.size();
    responded_ = true;
    renewWithin(nextHostDelay);
}

void ControlLink::handleFrame(std::size_t host, const Frame &frame)
{
    if (holds<HostRenewResponse>(frame)) {
        if (const auto response = decodeMessage<HostRenewResponse>(frame); response.has_value()) {
            handleRenewResponse(host, response.value());
            return;
        }
    } else if (holds<ViewPush>(frame)) {
        if (const auto push = decodeMessage<ViewPush>(frame); push.has_value()) {
            handlers_.pushed(push.value());
            return;
        }
    } else if (holds<ErrorResponse>(frame)) {
        const auto refused = decodeMessage<ErrorResponse>(frame);
        writeLog(LogLevel::Warning, LogComponent::Wire,
                 hosts_[host].name + " refused a message: "
                     + (refused.has_value() ? refused.value().detail : "unknown reason"));
        return;
    }
    metrics_.countRefusedMessage("peer");
    writeLog(LogLevel::Warning, LogComponent::Wire,
             "a message of " + hosts_[host].name + " cannot be decoded");
}

void ControlLink::handleRenewResponse(std::size_t host, const HostRenewResponse &response)
{
    if (response.sequence == lastSequence_) {
        responded_ = true;
    }
    if (response.kind != ErrorKind::NotLeader) {
        metrics_.countRenewal("granted");
        currentHost_ = host;
        handlers_.renewed(response);
        return;
    }
    metrics_.countRenewal("not_leader");
    if (host != currentHost_) {
        return;
    }
    const auto hinted = std::find_if(hosts_.begin(), hosts_.end(), [&](const Host &candidate) {
        return candidate.name == response.leader;
    });
    if (hinted != hosts_.end() && hinted->client->isUp()
        && hinted - hosts_.begin() != static_cast<std::ptrdiff_t>(host)) {
        currentHost_ = static_cast<std::size_t>(hinted - hosts_.begin());
        renewWithin(Duration::zero());
    } else {
        tryNextHost();
    }
}

void ControlLink::sendFinalRenewal(const HostRenewRequest &request)
{
    stopped_ = true;
    timer_.set(std::nullopt);
    if (!hosts_.empty()) {
        auto last = request;
        last.sequence = ++lastSequence_;
        hosts_[currentHost_].client->send(last);
    }
}

} // namespace hyssoprock
