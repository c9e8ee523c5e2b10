#include <hyssoprock/pooler/entry_node.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/pooler/pooler_metrics.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Remaining callers are closed this long before the grace period ends.
constexpr Duration closeMargin = std::chrono::seconds{1};
// Interval at which callers that wait for memory are reviewed and free memory is returned.
constexpr Duration memoryReviewInterval = std::chrono::seconds{1};
// Less than this is not returned: it would soon be allocated again.
constexpr std::size_t returnedBytesMin = std::size_t{4} * 1024 * 1024;
// A crowd would otherwise cause a line for each connection.
constexpr Duration limitLogInterval = std::chrono::seconds{1};
// The stop completes at the latest this long before the grace period ends.
constexpr Duration exitMargin = std::chrono::milliseconds{500};

} // namespace

PooledEntryNode::PooledEntryNode(boost::asio::io_context &context, const PooledSettings &settings,
                                 const CodecFactory &codecs, std::uint64_t seed)
    : context_{context}
    , name_{settings.host.name}
    , callersAddress_{settings.listen.callers}
    , gracePeriod_{settings.deployment.grace}
    , codecs_{codecs}
    , limits_{deriveLimits(settings.limits, descriptorLimit())}
    , timeouts_{settings.limits.startupTimeout, settings.limits.messageTimeout,
                settings.limits.answerTimeout}
    , memory_{limits_.memory}
    , pooler_{PoolerSettings{settings.host.name,
                             Topology{settings.host.dataCentre, settings.deployment.dataCentres},
                             settings.log.decisions, !settings.listen.metrics.empty(),
                             !settings.deployment.fencedPromotions, limits_.session,
                             settings.deployment.admission == "fair" ? Admission::Fair
                                                                     : Admission::Priority,
                             settings.deployment.balancing == "even"},
              seed, monotonicNow()}
    , listener_{context}
    , subscription_{context, settings, seed + 1,
                    [this](PoolerEvent event) { post(std::move(event)); }}
    , timer_{context, [this]() { handleDeadline(); }}
    , stopTimer_{context, [this]() { finishStop(); }}
    , memoryTimer_{context, [this]() { reviewMemory(); }}
{
    subscription_.setUsageSource([this]() { return pooler_.usage(); });
    subscription_.setPositionSource(
        [this]() { return pooler_.servicesWithoutSample(monotonicNow()); });
}

PooledEntryNode::~PooledEntryNode()
{
    for (auto &[id, caller] : callers_) {
        caller->abandon();
    }
    for (auto &[id, connection] : connections_) {
        connection->close();
    }
}

Result<SocketAddress> PooledEntryNode::start()
{
    auto address = parseAddress(callersAddress_);
    if (address.has_error()) {
        return address;
    }
    auto opened = listener_.open(address.value(), [this](boost::asio::ip::tcp::socket socket) {
        handleAccept(std::move(socket));
    });
    if (!opened.has_error()) {
        subscription_.start();
        armTimer();
    }
    return opened;
}

bool PooledEntryNode::ready() const noexcept
{
    return !stopping_ && pooler_.ready();
}

std::string PooledEntryNode::metricsText() const
{
    const auto *counters = pooler_.counters();
    return entryMetrics(counters == nullptr ? PoolerCounters{} : *counters, pooler_.usage(),
                        subscription_.documentVersion())
           + callerLimitMetrics(limitCounters_, memory_.total());
}

void PooledEntryNode::stop(std::function<void()> stopped)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopCallback_ = std::move(stopped);
    stopTimer_.set(monotonicNow() + gracePeriod_ - exitMargin);
    post(pooler::ShutdownStarted{gracePeriod_ / 2, gracePeriod_ - closeMargin});
}

void PooledEntryNode::handleAccept(boost::asio::ip::tcp::socket socket)
{
    if (callers_.size() >= limits_.callersMax) {
        ++limitCounters_.refusedConnections;
        refuseConnection(std::move(socket), "too many connections to this host");
        return;
    }
    if (!memory_.admits()) {
        ++limitCounters_.refusedForMemory;
        refuseConnection(std::move(socket), "this host is out of memory for connections");
        return;
    }
    const auto id = ++lastCallerId_;
    auto caller =
        std::make_shared<PooledCallerConnection>(std::move(socket), id, codecs_.makeCallerCodec(),
                                                 static_cast<ConnectionOwner &>(*this), timeouts_);
    callers_.emplace(id, caller);
    caller->start();
}

void PooledEntryNode::refuseConnection(boost::asio::ip::tcp::socket socket, const char *reason)
{
    std::string output;
    codecs_.makeCallerCodec()->encodeRefused(AnswerKind::Busy, reason, output);
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(boost::asio::buffer(output), ignored);
    logLimit(std::string{"refused a connection: "} + reason);
}

bool PooledEntryNode::chargeMemory(CallerId caller, std::size_t bytes)
{
    if (bytes == 0) {
        memory_.release(caller);
        stoppedCallers_.erase(caller);
        return true;
    }
    auto decision = memory_.charge(caller, pooler_.teamOf(caller), bytes);
    memoryPeak_ = std::max(memoryPeak_, memory_.total());
    if (!memoryTimerArmed_) {
        memoryTimerArmed_ = true;
        memoryTimer_.set(monotonicNow() + memoryReviewInterval);
    }
    if (!decision.toClose.empty()) {
        closeForMemory(std::move(decision.toClose));
    }
    if (decision.mayRead) {
        stoppedCallers_.erase(caller);
    } else if (stoppedCallers_.insert(caller).second) {
        ++limitCounters_.stoppedReading;
    }
    return decision.mayRead;
}

void PooledEntryNode::closeForMemory(std::vector<CallerId> callers)
{
    limitCounters_.closedForMemory += callers.size();
    logLimit("closes " + std::to_string(callers.size()) + " callers that hold the most memory, "
             + std::to_string(memory_.total()) + " bytes remain");
    // Deferred, because the caller of chargeMemory() may be one of them.
    boost::asio::post(context_, [this, callers = std::move(callers)]() {
        for (const auto id : callers) {
            if (const auto found = callers_.find(id); found != callers_.end()) {
                const auto caller = found->second;
                caller->disconnect();
            }
        }
    });
}

void PooledEntryNode::reviewMemory()
{
    // Callers that must wait for memory would wait for ever if those that hold it do nothing.
    if (!stoppedCallers_.empty()) {
        if (auto closed = memory_.makeRoom(); !closed.empty()) {
            closeForMemory(std::move(closed));
        }
        for (const auto id : std::exchange(stoppedCallers_, {})) {
            const auto found = callers_.find(id);
            if (found == callers_.end()) {
                continue;
            }
            if (memory_.mayRead(id)) {
                const auto caller = found->second;
                caller->resume();
            } else {
                stoppedCallers_.insert(id);
            }
        }
    }
    if (memoryPeak_ >= memory_.total() + returnedBytesMin) {
        memoryPeak_ = memory_.total();
        returnFreeMemory();
    }
    memoryTimerArmed_ = memory_.total() > 0 || !stoppedCallers_.empty();
    if (memoryTimerArmed_) {
        memoryTimer_.set(monotonicNow() + memoryReviewInterval);
    }
}

void PooledEntryNode::callerTimedOut(std::string_view what)
{
    ++limitCounters_.timedOut;
    logLimit("closes a caller: no complete " + std::string{what} + " in time");
}

void PooledEntryNode::logLimit(const std::string &text)
{
    const auto now = monotonicNow();
    if (limitLoggedAt_ != Instant{} && now - limitLoggedAt_ < limitLogInterval) {
        ++limitsNotLogged_;
        return;
    }
    limitLoggedAt_ = now;
    const auto omitted = std::exchange(limitsNotLogged_, 0);
    writeLog(
        LogLevel::Warning, LogComponent::Wire,
        text + (omitted == 0 ? "" : " (" + std::to_string(omitted) + " similar lines omitted)"));
}

void PooledEntryNode::post(PoolerEvent event)
{
    events_.push_back(std::move(event));
    if (!processing_) {
        processEvents();
    }
}

void PooledEntryNode::processEvents()
{
    processing_ = true;
    do {
        while (!events_.empty()) {
            auto event = std::move(events_.front());
            events_.pop_front();
            if (updateTables(event)) {
                execute(pooler_.handle(std::move(event), monotonicNow()));
            }
        }
        // A failed write may post further events.
        flush();
    } while (!events_.empty());
    processing_ = false;
    armTimer();
}

bool PooledEntryNode::updateTables(const PoolerEvent &event)
{
    return std::visit(
        [this](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, pooler::CallerConnected>) {
                return sessions_.insert(body.caller).second;
            } else if constexpr (std::is_same_v<Body, pooler::StatementReceived>) {
                return sessions_.contains(body.caller);
            } else if constexpr (std::is_same_v<Body, pooler::CallerDisconnected>) {
                return sessions_.erase(body.caller) > 0;
            } else if constexpr (
                std::is_same_v<
                    Body,
                    pooler::ConnectionOpened> || std::is_same_v<Body, pooler::AnswerReceived>) {
                return connections_.contains(body.connection);
            } else if constexpr (std::is_same_v<Body, pooler::ConnectionEnded>) {
                return connections_.erase(body.connection) > 0;
            } else {
                return true;
            }
        },
        event);
}

void PooledEntryNode::execute(PoolerActions actions)
{
    for (auto &action : actions) {
        std::visit([this](auto &body) { execute(body); }, action);
    }
}

std::shared_ptr<PooledCallerConnection> PooledEntryNode::callerToFlush(CallerId caller)
{
    const auto found = callers_.find(caller);
    if (found == callers_.end()) {
        return nullptr;
    }
    callersToFlush_.push_back(found->second);
    return found->second;
}

void PooledEntryNode::execute(pooler::AcceptCaller &action)
{
    if (const auto caller = callerToFlush(action.caller)) {
        caller->accept();
    }
}

void PooledEntryNode::execute(pooler::RefuseCaller &action)
{
    sessions_.erase(action.caller);
    if (const auto caller = callerToFlush(action.caller)) {
        caller->refuse(action.kind, action.text);
    }
}

void PooledEntryNode::execute(pooler::AnswerCaller &action)
{
    if (const auto caller = callerToFlush(action.caller)) {
        caller->answer(action.answer, action.sessionBytes);
        memory_.recordWork(action.caller);
    }
}

void PooledEntryNode::execute(pooler::CloseCaller &action)
{
    sessions_.erase(action.caller);
    if (const auto caller = callerToFlush(action.caller)) {
        caller->close();
    }
}

void PooledEntryNode::execute(pooler::OpenConnection &action)
{
    auto connection = std::make_shared<EndpointConnection>(context_, action.connection,
                                                           codecs_.makeEndpointCodec(),
                                                           static_cast<ConnectionOwner &>(*this));
    connections_.emplace(action.connection, connection);
    connection->open(action, action.team.empty() ? name_ : action.team);
}

void PooledEntryNode::execute(pooler::SendCommand &action)
{
    if (const auto found = connections_.find(action.connection); found != connections_.end()) {
        found->second->send(action.command);
        connectionsToFlush_.push_back(found->second);
    }
}

void PooledEntryNode::execute(pooler::CloseConnection &action)
{
    if (const auto found = connections_.find(action.connection); found != connections_.end()) {
        found->second->close();
        connections_.erase(found);
    }
}

void PooledEntryNode::execute(pooler::ReportEvidence &action)
{
    subscription_.sendEvidence(action);
}

void PooledEntryNode::execute(pooler::PrimaryReleased &action)
{
    subscription_.sendRelease(action);
}

void PooledEntryNode::execute(pooler::RequestAllowance &action)
{
    subscription_.requestAllowance(action);
}

void PooledEntryNode::execute(pooler::LogDecision &action)
{
    writeLog(action.text);
}

void PooledEntryNode::execute(pooler::ShutdownFinished & /*action*/)
{
    shutdownFinished_ = true;
    subscription_.endLease();
    // Deferred until the current handler returns, because closing a caller destroys its connection.
    boost::asio::post(context_, [this]() { closeListener(); });
}

void PooledEntryNode::closeListener()
{
    listener_.close();
    // The Pooler closes its own sessions. Callers that have not sent a startup are unknown to it
    // and are refused here.
    const auto callers = callers_;
    for (const auto &[id, caller] : callers) {
        caller->refuse(AnswerKind::Busy, "this host is being stopped");
        caller->flush();
    }
    if (callers_.empty()) {
        finishStop();
    }
}

void PooledEntryNode::flush()
{
    // The lists are moved out first, because a failed write may end a connection and modify them.
    auto callers = std::exchange(callersToFlush_, {});
    auto connections = std::exchange(connectionsToFlush_, {});
    for (const auto &connection : connections) {
        connection->flush();
    }
    for (const auto &caller : callers) {
        caller->flush();
    }
    callers.clear();
    connections.clear();
    // Reuses the capacity, so that a batch does not allocate.
    if (callersToFlush_.empty()) {
        callersToFlush_.swap(callers);
    }
    if (connectionsToFlush_.empty()) {
        connectionsToFlush_.swap(connections);
    }
}

void PooledEntryNode::armTimer()
{
    // Completed statements mostly move the deadline to a later time. The timer is then left as it
    // is and rescheduled in handleDeadline(): rescheduling it for every statement would cost more
    // than the extra wake-ups.
    const auto deadline = pooler_.nextDeadline();
    if (deadline && (!armedDeadline_ || *deadline < *armedDeadline_)) {
        armedDeadline_ = deadline;
        timer_.set(deadline);
    }
}

void PooledEntryNode::handleDeadline()
{
    armedDeadline_.reset();
    const auto deadline = pooler_.nextDeadline();
    if (deadline && *deadline <= monotonicNow()) {
        post(pooler::Tick{});
    } else {
        armTimer();
    }
}

void PooledEntryNode::callerClosed(CallerId caller)
{
    callers_.erase(caller);
    memory_.release(caller);
    stoppedCallers_.erase(caller);
    if (shutdownFinished_ && callers_.empty()) {
        boost::asio::post(context_, [this]() { finishStop(); });
    }
}

void PooledEntryNode::finishStop()
{
    if (const auto stopped = std::exchange(stopCallback_, nullptr)) {
        stopped();
    }
}

} // namespace hyssoprock
