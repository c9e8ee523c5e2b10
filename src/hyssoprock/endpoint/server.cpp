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

/// Announcements expire at the entry hosts after several of these.
constexpr std::chrono::milliseconds announceInterval{500};
/// Pause after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
constexpr int crashStatus = 42;
constexpr unsigned long portsEnd = 65536;

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
    if (port.empty() || *end != '\0' || number >= portsEnd) {
        throw boost::system::system_error{asio::error::invalid_argument, "address must be IP:port"};
    }
    return {asio::ip::make_address(std::string{text.substr(0, colon)}),
            static_cast<asio::ip::port_type>(number)};
}

Server::Server(asio::io_context &context, ServerSettings settings, Journal &journal)
    : context_{context}
    , settings_{std::move(settings)}
    , instance_{settings_.name, settings_.incarnation,
                Database{settings_.name, settings_.lag, journal}}
    , slots_{settings_.slots}
    , acceptor_{context, parseAddress(settings_.listen)}
    , announcer_{context, asio::ip::udp::v4()}
    , announceTimer_{context}
    , applyTimer_{context}
    , stallTimer_{context}
    , cutOffTimer_{context}
    , replicaLink_{std::make_unique<ReplicaLink>(*this)}
{
    for (const auto &address : settings_.announce) {
        const auto target = parseAddress(address);
        announceTo_.emplace_back(target.address(), target.port());
    }
}

Server::~Server()
{
    // Completion handlers that are never called keep connections alive beyond the server.
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
            after(acceptRetryDelay, [this] { accept(); });
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
    if (announceTo_.empty()) {
        return;
    }
    Announcement announcement;
    announcement.endpoint = settings_.name;
    announcement.group = settings_.group;
    announcement.dataCentre = settings_.dataCentre;
    announcement.address = address();
    announcement.incarnation = settings_.incarnation;
    announcement.connectionLimit = settings_.connections;
    announcement.slotLimit = settings_.slots;
    const auto bytes = frameOf(announcement);
    for (const auto &target : announceTo_) {
        boost::system::error_code ignored; // The next announcement follows soon.
        announcer_.send_to(asio::buffer(bytes), target, 0, ignored);
    }
    announceTimer_.expires_after(announceInterval);
    announceTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            whenReachable([this] { announce(); });
        }
    });
}

void Server::whenRunning(std::function<void()> function)
{
    if (now() < instance_.faults.stalledUntil) {
        afterStall_.push_back(std::move(function));
        armDeferred();
    } else {
        function();
    }
}

void Server::whenReachable(std::function<void()> function)
{
    whenRunning([this, function = std::move(function)]() mutable {
        if (now() < instance_.faults.cutOffUntil) {
            afterCutOff_.push_back(std::move(function));
            armDeferred();
        } else {
            function();
        }
    });
}

void Server::after(Duration delay, std::function<void()> function)
{
    if (delay == Duration{0}) {
        asio::post(context_, [this, function = std::move(function)]() mutable {
            whenRunning(std::move(function));
        });
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, function = std::move(function)](
                          const boost::system::error_code &error) mutable {
        if (!error) {
            whenRunning(std::move(function));
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
    if (!afterStall_.empty()) {
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
    for (auto &function : std::exchange(afterStall_, {})) {
        function();
    }
    if (now() < faults.cutOffUntil) {
        return;
    }
    if (faults.cutOffUntil != cutOffHandled_) {
        cutOffHandled_ = faults.cutOffUntil;
        closeAll();
    }
    for (auto &function : std::exchange(afterCutOff_, {})) {
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
        log("crash on demand");
        std::_Exit(crashStatus);
    }
    if (faults.cutOffUntil > now() || faults.stalledUntil > now()) {
        armDeferred();
    }
}

void Server::afterStatement()
{
    applyFaults();
    replicaLink_->update();
    armApplyTimer();
    notifyReplicas();
    for (const auto &weak : std::exchange(tableWaiters_, {})) {
        if (const auto connection = weak.lock()) {
            asio::post(context_, [connection, this] {
                whenRunning([connection] { connection->retryTable(); });
            });
        }
    }
}

void Server::notifyReplicas()
{
    const auto &replication = instance_.database.replication();
    if (replication.log().last() == notifiedLast_
        && replication.majorityIndex() == notifiedMajority_
        && replication.role() == notifiedRole_) {
        return;
    }
    notifiedLast_ = replication.log().last();
    notifiedMajority_ = replication.majorityIndex();
    notifiedRole_ = replication.role();
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            asio::post(context_, [connection, this] {
                whenReachable([connection] { connection->retryFetch(); });
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
            whenRunning([this] {
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
