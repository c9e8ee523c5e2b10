#include <hyssoprock/endpoint/server.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>

#include <hyssoprock/endpoint/connection.hpp>
#include <hyssoprock/endpoint/replica_link.hpp>
#include <hyssoprock/message/common.hpp>
#include <hyssoprock/transport/frame.hpp>

namespace hyssoprock::endpoint {

namespace {

namespace asio = boost::asio;

/// Announcements expire at the entry hosts after several intervals.
constexpr std::chrono::milliseconds announceInterval{500};
/// Delay after a failed accept, for example when no file descriptor is available.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
constexpr int crashExitStatus = 42;
constexpr unsigned long portCount = 65536;

asio::steady_timer::time_point toTimePoint(Instant instant)
{
    return asio::steady_timer::time_point{instant.time_since_epoch()};
}

} // namespace

asio::ip::tcp::endpoint parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string port{colon == std::string_view::npos ? "" : text.substr(colon + 1)};
    char *end = nullptr;
    const auto number = std::strtoul(port.c_str(), &end, 10);
    if (port.empty() || *end != '\0' || number >= portCount) {
        throw boost::system::system_error{asio::error::invalid_argument, "address must be IP:port"};
    }
    return {asio::ip::make_address(std::string{text.substr(0, colon)}),
            static_cast<asio::ip::port_type>(number)};
}

Server::Server(asio::io_context &context, ServerSettings settings, Journal &journal)
    : context_{context}
    , settings_{std::move(settings)}
    , instance_{settings_.name, settings_.incarnation,
                Database{settings_.name, settings_.replicationLag, journal}}
    , slots_{settings_.slotCount}
    , acceptor_{context, parseAddress(settings_.listen)}
    , announceSocket_{context, asio::ip::udp::v4()}
    , announceTimer_{context}
    , applyTimer_{context}
    , stallTimer_{context}
    , cutOffTimer_{context}
    , replicaLink_{std::make_unique<ReplicaLink>(*this)}
{
    for (const auto &address : settings_.announceTargets) {
        const auto target = parseAddress(address);
        announceTargets_.emplace_back(target.address(), target.port());
    }
}

Server::~Server()
{
    // Pending completion handlers would keep connections alive beyond the server.
    closeAll();
}

std::string Server::address() const
{
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Instant Server::now() const
{
    return Instant{
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

void Server::log(std::string_view text)
{
    std::fprintf(stderr, "[endpoint] %.*s\n", static_cast<int>(text.size()), text.data());
}

void Server::start()
{
    accept();
    announce();
}

void Server::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket s) {
        if (error) {
            runAfter(acceptRetryDelay, [this] { accept(); });
            return;
        }
        boost::system::error_code ignored;
        s.set_option(asio::ip::tcp::no_delay{true}, ignored);
        auto connection = std::make_shared<Connection>(*this, std::move(s));
        std::erase_if(connections_, [](const auto &weak) { return weak.expired(); });
        connections_.push_back(connection);
        connection->start();
        accept();
    });
}

void Server::announce()
{
    if (announceTargets_.empty()) {
        return;
    }
    Announcement announcement;
    announcement.endpoint = settings_.name;
    announcement.group = settings_.group;
    announcement.dataCentre = settings_.dataCentre;
    announcement.address = address();
    announcement.incarnation = settings_.incarnation;
    announcement.connectionLimit = settings_.connectionCountMax;
    announcement.slotLimit = settings_.slotCount;
    const auto bytes = frameOf(announcement);
    for (const auto &target : announceTargets_) {
        boost::system::error_code ignored; // Announcements are repeated.
        announceSocket_.send_to(asio::buffer(bytes), target, 0, ignored);
    }
    announceTimer_.expires_after(announceInterval);
    announceTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runUnlessCutOff([this] { announce(); });
        }
    });
}

void Server::runUnlessStalled(std::function<void()> function)
{
    if (now() < instance_.faults.stalledUntil) {
        stalledFunctions_.push_back(std::move(function));
        armDeferred();
    } else {
        function();
    }
}

void Server::runUnlessCutOff(std::function<void()> function)
{
    runUnlessStalled([this, function = std::move(function)]() mutable {
        if (now() < instance_.faults.cutOffUntil) {
            cutOffFunctions_.push_back(std::move(function));
            armDeferred();
        } else {
            function();
        }
    });
}

void Server::runAfter(Duration delay, std::function<void()> function)
{
    if (delay == Duration{0}) {
        asio::post(context_, [this, function = std::move(function)]() mutable {
            runUnlessStalled(std::move(function));
        });
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, function = std::move(function)](
                          const boost::system::error_code &error) mutable {
        if (!error) {
            runUnlessStalled(std::move(function));
        }
    });
}

void Server::armDeferred()
{
    const auto arm = [this](asio::steady_timer &timer, Instant until) {
        timer.expires_at(toTimePoint(until));
        timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                runDeferred();
            }
        });
    };
    if (!stalledFunctions_.empty()) {
        arm(stallTimer_, instance_.faults.stalledUntil);
    }
    arm(cutOffTimer_, instance_.faults.cutOffUntil);
}

void Server::runDeferred()
{
    const auto &faults = instance_.faults;
    if (now() < faults.stalledUntil) {
        return;
    }
    for (auto &function : std::exchange(stalledFunctions_, {})) {
        function();
    }
    if (now() < faults.cutOffUntil) {
        return;
    }
    if (faults.cutOffUntil != handledCutOffUntil_) {
        handledCutOffUntil_ = faults.cutOffUntil;
        closeAll();
    }
    for (auto &function : std::exchange(cutOffFunctions_, {})) {
        function();
    }
}

void Server::closeAll()
{
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
    replicaLink_->reset();
    replicaLink_->update();
}

void Server::applyFaults()
{
    const auto &faults = instance_.faults;
    if (faults.crash) {
        log("terminating because of the injected fault \"crash\"");
        std::_Exit(crashExitStatus);
    }
    if (faults.cutOffUntil > now() || faults.stalledUntil > now()) {
        armDeferred();
    }
}

void Server::handleStateChange()
{
    applyFaults();
    replicaLink_->update();
    armApplyTimer();
    notifyReplicas();
    for (const auto &weak : std::exchange(tableWaiters_, {})) {
        if (const auto connection = weak.lock()) {
            asio::post(context_, [connection, this] {
                runUnlessStalled([connection] { connection->retryBlockedStatement(); });
            });
        }
    }
}

void Server::notifyReplicas()
{
    const auto &replication = instance_.database.replication();
    if (replication.log().last() == notifiedLastPosition_
        && replication.majorityIndex() == notifiedMajorityIndex_
        && replication.role() == notifiedRole_) {
        return;
    }
    notifiedLastPosition_ = replication.log().last();
    notifiedMajorityIndex_ = replication.majorityIndex();
    notifiedRole_ = replication.role();
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            asio::post(context_, [connection, this] {
                runUnlessCutOff([connection] { connection->answerPendingFetch(); });
            });
        }
    }
}

void Server::armApplyTimer()
{
    const auto deadline = instance_.database.nextDeadline();
    if (!deadline) {
        return;
    }
    applyTimer_.expires_at(toTimePoint(*deadline));
    applyTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runUnlessStalled([this] {
                instance_.database.applyDue(now());
                armApplyTimer();
            });
        }
    });
}

void Server::addTableWaiter(const std::shared_ptr<Connection> &connection)
{
    tableWaiters_.push_back(connection);
}

void Server::cancel(std::uint32_t processId, std::uint32_t secretKey)
{
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->cancel(processId, secretKey);
        }
    }
}

} // namespace hyssoprock::endpoint
