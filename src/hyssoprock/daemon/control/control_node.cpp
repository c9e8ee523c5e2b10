#include <hyssoprock/daemon/control/control_node.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/daemon/shared/endpoint_sql.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration leadershipTransferTimeout = std::chrono::milliseconds{200};

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

} // namespace

ControlNode::ControlNode(boost::asio::io_context &context, const Settings &settings,
                         Metrics &metrics, std::uint64_t seed)
    : context_{context}
    , settings_{settings}
    , metrics_{metrics}
    , random_{seed}
    , replica_{[this](const CatalogCommand &command, const CatalogResult &result) {
        handleCoordinatorEvent(CommandCommitted{command, result});
    }}
    , raft_{context,       RaftIdentity{settings.host.name, initialVoters(settings)},
            settings.raft, settings.host.dataFolder + "/raft",
            replica_,      random_.next()}
    , coordinator_{coordinatorSettings(settings), replica_.catalog(),
                   BudgetAllocator{settings.limits.reservedConnections}}
    , timer_{context, [this]() { handleCoordinatorEvent(CoordinatorTick{}); }}
    , listener_{context}
{}

ControlNode::~ControlNode()
{
    for (auto &[id, client] : clients_) {
        client.connection->close();
    }
}

Result<SocketAddress> ControlNode::start()
{
    RaftHost::Handlers handlers;
    handlers.send = [this](const std::string &to, const RaftMessage &message) {
        sendRaft(to, message);
    };
    handlers.roleChanged = [this](bool leading, std::uint64_t term, const std::string &leader) {
        handleRoleChange(leading, term, leader);
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
        // The other host answers over its own connection and sends only ErrorResponse on this one.
        clientHandlers.frame = [name = named.name](const Frame &frame) {
            const auto response = decodeMessage<ErrorResponse>(frame);
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

void ControlNode::handleRoleChange(bool leading, std::uint64_t term, const std::string &leader)
{
    metrics_.setRaft(term, leading);
    if (leading && !leading_) {
        leading_ = true;
        handleCoordinatorEvent(LeadershipGained{term});
    } else if (!leading) {
        // Also reports a new leader to followers, which redirect entry hosts to it.
        if (std::exchange(leading_, false)) {
            endpoints_.clear();
        }
        handleCoordinatorEvent(LeadershipLost{leader});
    }
}

void ControlNode::handleCoordinatorEvent(const CoordinatorEvent &event)
{
    auto actions = coordinator_.handle(event, monotonicNow(), raft_.leaseValid());
    for (auto &action : actions) {
        execute(std::move(action));
    }
    timer_.set(coordinator_.nextDeadline());
}

void ControlNode::execute(CoordinatorAction action)
{
    std::visit(
        Overloaded{
            [&](const ProposeCommand &proposal) { raft_.propose(encode(proposal.command)); },
            [&](const SendRenewResponse &renewed) { answer(renewed.request, renewed.message); },
            [&](const SendOperatorResponse &done) { answer(done.request, done.message); },
            [&](SendStatusResponse &status) {
                status.message.controlHosts = raft_.voters();
                status.message.term = raft_.term();
                answer(status.request, status.message);
            },
            [&](const PushView &push) {
                const auto bytes = frameOf(push.message);
                for (const auto &[id, client] : clients_) {
                    if (client.role == "entry") {
                        client.connection->send(bytes);
                    }
                }
            },
            [&](const CallEndpoint &call) { callEndpoint(call); },
            [](const WriteLog &line) {
                writeLog(LogLevel::Info, LogComponent::Failover, line.text);
            },
            [&](const ReportFailover &failover) { recordFailover(failover.report); },
        },
        action);
}

void ControlNode::callEndpoint(const CallEndpoint &action)
{
    // An endpoint may announce another address after a restart.
    const auto key = action.endpoint + "=" + action.address;
    auto &connection = endpoints_[key];
    if (!connection) {
        const auto address = parseAddress(action.address);
        if (address.has_error()) {
            endpoints_.erase(key);
            boost::asio::post(context_, [this, call = action.call, error = address.error()]() {
                handleCoordinatorEvent(EndpointCallFailed{call, error});
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
                handleCoordinatorEvent(EndpointCallFailed{
                    call, Error{ErrorKind::Unreachable, answered.error().detail}});
                return;
            }
            auto read = parseAnswer(request, answered.value());
            if (read.has_error()) {
                handleCoordinatorEvent(EndpointCallFailed{call, read.error()});
            } else {
                handleCoordinatorEvent(EndpointCallSucceeded{call, std::move(read.value())});
            }
        });
}

void ControlNode::recordFailover(const FailoverReport &report)
{
    // The coordinator logs the report.
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
    listener_.close();
    raft_.transferLeadership();
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(leadershipTransferTimeout);
    timer->async_wait(
        [timer, done = std::move(done)](const boost::system::error_code & /*error*/) { done(); });
}

} // namespace hyssoprock
