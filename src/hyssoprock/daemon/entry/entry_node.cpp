#include <hyssoprock/daemon/entry/entry_node.hpp>

#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/shared/endpoint_report_reader.hpp>
#include <hyssoprock/daemon/shared/endpoint_sql.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration maintenanceInterval = std::chrono::milliseconds{50};
// Connections to the endpoints of a group are kept open for this time after its last use.
constexpr Duration groupIdleTimeout = std::chrono::seconds{60};
// Time for sessions to complete long transactions at shutdown before they are closed.
constexpr Duration leaveTimeout = std::chrono::seconds{30};
constexpr Duration finalMessageDelay = std::chrono::milliseconds{100};
// Delay before more connection budget is requested, so that a burst causes a single renewal.
constexpr Duration demandDelay = std::chrono::milliseconds{20};

RouterSettings routerSettings(const Settings &settings)
{
    RouterSettings router;
    router.policy = settings.routing.policy;
    router.dataCentre = settings.host.dataCentre;
    router.replicaWait = settings.routing.replicaWait;
    return router;
}

} // namespace

EntryNode::EntryNode(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
                     std::uint64_t seed, std::uint64_t incarnation)
    : context_{context}
    , settings_{settings}
    , metrics_{metrics}
    , random_{seed}
    , incarnation_{incarnation}
    , tables_{routerSettings(settings), settings.raft.clockDriftPerMille,
              settings.request.majorityPoll, random_.next()}
    , tokens_{settings.session.tokenKey}
    , retries_{settings.limits.retryPercent}
    , ejections_{settings.limits.ejectFailures, settings.limits.eject}
    , control_{context, settings, metrics, random_.next()}
    , listener_{context}
    , datagrams_{context}
    , tablesTimer_{context, [this]() { processTableChanges(); }}
    , membershipTimer_{context, [this]() { handleMembership(membership::Tick{}); }}
    , maintenanceTimer_{context, [this]() { runMaintenance(); }}
    , alive_{std::make_shared<EntryNode *>(this)}
{
    poolHandlers_.demandRaised = [this](const std::string & /*endpoint*/) {
        control_.renewWithin(demandDelay);
    };
    poolHandlers_.failed = [this](const std::string &endpoint) {
        recordEndpointResult(endpoint, false);
    };
    poolHandlers_.succeeded = [](const std::string & /*endpoint*/) {};
}

EntryNode::~EntryNode()
{
    alive_.reset();
    for (const auto &[session, caller] : std::exchange(callers_, {})) {
        caller->close();
    }
}

Result<EntryAddresses> EntryNode::start()
{
    DatagramSocket::Handlers datagrams;
    datagrams.frame = [this](const SocketAddress &from, const Frame &frame) {
        handleDatagram(from, frame);
    };
    datagrams.refused = [this](const SocketAddress &from, const Error &error) {
        metrics_.countRefusedMessage("datagram");
        writeLog(LogLevel::Debug, LogComponent::Wire,
                 "refused a datagram of " + toString(from) + ": " + error.detail);
    };
    const auto peers =
        datagrams_.open(parseAddress(settings_.listen.peers).value(), std::move(datagrams));
    if (peers.has_error()) {
        return peers.as_failure();
    }
    const auto callers =
        listener_.open(parseAddress(settings_.listen.callers).value(),
                       [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); });
    if (callers.has_error()) {
        return callers.as_failure();
    }
    ControlLink::Handlers control;
    control.composeRenewal = [this]() { return composeRenewal(); };
    control.renewed = [this](const HostRenewResponse &response) { handleRenewal(response); };
    control.pushed = [this](const ViewPush &push) { handleViewPush(push); };
    startMembership(peers.value());
    control_.start(std::move(control));
    maintenanceTimer_.set(monotonicNow() + maintenanceInterval);
    return EntryAddresses{callers.value(), peers.value()};
}

void EntryNode::accept(boost::asio::ip::tcp::socket socket)
{
    if (callers_.size() >= settings_.limits.callersMax) {
        // Does not wait for the startup message, so that a flood of connections uses no more
        // memory.
        pgwire::BackendEncoder encoder;
        encoder.errorResponse(pgwire::toNotice(Error{ErrorKind::TooManyConnections, ""}, "FATAL"));
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(boost::asio::buffer(encoder.bytes()), ignored);
        return;
    }
    const auto session = nextSession_++;
    auto caller = std::make_shared<CallerConnection>(*this, session, std::move(socket));
    callers_.emplace(session, caller);
    metrics_.setCallers(callers_.size());
    caller->start();
}

void EntryNode::callerClosed(std::uint64_t session)
{
    callers_.erase(session);
    metrics_.setCallers(callers_.size());
    if (leaving_) {
        finishWhenIdle();
    }
}

void EntryNode::cancel(std::uint32_t processId, std::uint32_t secretKey)
{
    const auto found = callers_.find(processId);
    if (found != callers_.end() && found->second->secretKey() == secretKey) {
        found->second->handle(CallerCancelled{});
    }
}

std::shared_ptr<EndpointPool> EntryNode::pool(const std::string &endpoint)
{
    if (const auto member = members_.find(endpoint); member != members_.end()) {
        groupUsedAt_[member->second.announcement.group] = monotonicNow();
    }
    const auto found = pools_.find(endpoint);
    return found == pools_.end() ? nullptr : found->second;
}

bool EntryNode::isInUse(const std::string &endpoint) const
{
    const auto pool = pools_.find(endpoint);
    if (pool != pools_.end() && ledger_.open(endpoint) > 0) {
        return true;
    }
    const auto member = members_.find(endpoint);
    if (member == members_.end()) {
        return false;
    }
    const auto used = groupUsedAt_.find(member->second.announcement.group);
    return used != groupUsedAt_.end() && monotonicNow() - used->second < groupIdleTimeout;
}

void EntryNode::recordEndpointResult(const std::string &endpoint, bool success)
{
    if (success) {
        ejections_.recordSuccess(endpoint);
        retries_.recordSuccess();
        return;
    }
    if (ejections_.recordFailure(endpoint, monotonicNow())) {
        ejected_.insert(endpoint);
        tables_.endpoints.setEjected(endpoint, true);
        writeLog(LogLevel::Warning, LogComponent::Limits,
                 "endpoint " + endpoint + " is ejected: it has failed repeatedly");
    }
}

void EntryNode::runMaintenance()
{
    checkEjections();
    for (const auto &[endpoint, pool] : pools_) {
        if (isInUse(endpoint)) {
            pool->budgetChanged();
        }
    }
    if (leaving_ && monotonicNow() >= leaveDeadline_ && !callers_.empty()) {
        writeLog(LogLevel::Warning, LogComponent::Main,
                 "closing " + std::to_string(callers_.size()) + " sessions that have not ended");
        for (const auto &[session, caller] : std::map{callers_}) {
            caller->close();
        }
    }
    maintenanceTimer_.set(monotonicNow() + maintenanceInterval);
}

void EntryNode::checkEjections()
{
    const auto now = monotonicNow();
    std::erase_if(ejected_, [&](const std::string &endpoint) {
        if (ejections_.ejected(endpoint, now)) {
            return false;
        }
        tables_.endpoints.setEjected(endpoint, false);
        writeLog(LogLevel::Info, LogComponent::Limits,
                 "endpoint " + endpoint + " gets work again after its ejection");
        return true;
    });
}

void EntryNode::tablesChanged()
{
    // One pass handles all changes in the current iteration of the event loop.
    if (!std::exchange(processingScheduled_, true)) {
        boost::asio::post(context_, [weak = std::weak_ptr{alive_}]() {
            if (const auto self = weak.lock()) {
                (*self)->processTableChanges();
            }
        });
    }
}

void EntryNode::processTableChanges()
{
    processingScheduled_ = false;
    const auto now = monotonicNow();
    for (const auto &resolved : tables_.acks.takeResolved(tables_.views, now)) {
        if (const auto found = callers_.find(resolved.session); found != callers_.end()) {
            const auto caller = found->second;
            caller->handle(AckResolved{resolved.request});
        }
    }
    for (const auto &group : tables_.takePolls(now)) {
        pollPrimary(group);
    }
    reportQuiesced();
    tablesTimer_.set(tables_.nextDeadline());
}

void EntryNode::pollPrimary(const std::string &group)
{
    const auto *view = tables_.views.view(group);
    if (view == nullptr || view->primary.empty()) {
        return;
    }
    const auto primary = view->primary;
    if (const auto prober = probers_.find(primary); prober != probers_.end()) {
        prober->second->probe();
        return;
    }
    // Hosts that do not observe the primary have no reserved connection to it. If none of their
    // other connections is idle, the pending answers will report the same information.
    const auto endpointPool = pool(primary);
    auto held = endpointPool ? endpointPool->acquireIdle() : std::nullopt;
    if (!held) {
        return;
    }
    const auto sent = monotonicNow();
    const bool leaseValid = tables_.views.leaseValid(sent);
    const auto connection = held->connection;
    connection->query(toSql(StatusCall{}), settings_.lease.callTimeout,
                      [weak = std::weak_ptr{alive_}, group, primary, endpointPool, sent, leaseValid,
                       pooled = std::move(*held)](const Result<PgAnswer> &answer) {
                          const auto self = weak.lock();
                          const auto report = readEndpointReport(*pooled.connection);
                          endpointPool->release(pooled, answer.has_value(), pooled.schemaVersions);
                          if (self && answer.has_value()) {
                              (*self)->recordReport(group, primary, report, sent, leaseValid);
                          }
                      });
}

void EntryNode::recordReport(const std::string &group, const std::string &endpoint,
                             const EndpointReport &report, Instant sent, bool leaseValidAtSend)
{
    tables_.recordReport(group, endpoint, report, sent, leaseValidAtSend, monotonicNow());
    tablesChanged();
}

void EntryNode::stop(std::function<void()> done)
{
    if (std::exchange(leaving_, true)) {
        return;
    }
    writeLog(LogLevel::Info, LogComponent::Main,
             "leaving: " + std::to_string(callers_.size()) + " sessions are to end");
    stopCallback_ = std::move(done);
    leaveDeadline_ = monotonicNow() + leaveTimeout;
    listener_.close();
    std::vector<std::shared_ptr<CallerConnection>> callers;
    for (const auto &[session, caller] : callers_) {
        callers.push_back(caller);
    }
    for (const auto &caller : callers) {
        caller->leave();
    }
    finishWhenIdle();
}

void EntryNode::finishWhenIdle()
{
    if (!callers_.empty() || !stopCallback_) {
        return;
    }
    handleMembership(membership::Leave{});
    auto last = composeRenewal();
    last.leaving = true;
    last.demand.clear();
    tables_.views.dropLease();
    control_.sendFinalRenewal(last);
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(finalMessageDelay);
    timer->async_wait([timer, done = std::exchange(stopCallback_, {})](
                          const boost::system::error_code & /*error*/) { done(); });
}

} // namespace hyssoprock
