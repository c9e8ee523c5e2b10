#include <hyssoprock/daemon/entry/endpoint_pool.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

#include <boost/asio/post.hpp>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Opening a connection takes about 10 ms; the rest is a margin for a busy endpoint.
constexpr Duration connectTimeout = std::chrono::seconds{1};
// Number of connections kept open, so that the first requests of a burst do not wait for one.
constexpr std::uint32_t warmConnectionCount = 2;
// Without a delay, each request to an unavailable endpoint opens a new connection: one host made
// 924 attempts in 0.7 s of a failover at 200 requests/s.
constexpr Duration reconnectDelayMin = std::chrono::milliseconds{20};
constexpr Duration reconnectDelayMax = std::chrono::milliseconds{500};

ConnectionId nextConnectionId()
{
    static std::atomic<std::uint64_t> next{1};
    return ConnectionId{next++};
}

} // namespace

EndpointPool::EndpointPool(boost::asio::io_context &context, std::string endpoint, PgTarget target,
                           const Settings &settings, BudgetLedger &ledger, Metrics &metrics,
                           const PoolHandlers &handlers)
    : context_{context}
    , endpoint_{std::move(endpoint)}
    , target_{std::move(target)}
    , settings_{settings}
    , ledger_{ledger}
    , metrics_{metrics}
    , handlers_{handlers}
    , queue_{settings.limits.queueLength}
    , timer_{context, [this]() { expireQueued(); }}
    , alive_{std::make_shared<EndpointPool *>(this)}
{}

EndpointPool::~EndpointPool()
{
    for (const auto &entry : idle_) {
        entry.connection->close();
        ledger_.recordClosed(endpoint_);
    }
    for (std::size_t i = 0; i < openingCount_ + heldCount_; ++i) {
        ledger_.recordClosed(endpoint_);
    }
}

std::uint64_t EndpointPool::acquire(PoolRequest request)
{
    const auto now = monotonicNow();
    const auto wait = nextWait_++;
    const WaitingRequest waiting{wait, request.caller, request.deadline};
    waits_.emplace(wait, Wait{std::move(request), now});
    queue_.setServerCount(std::max<std::uint32_t>(1, ledger_.limit(endpoint_, now)));
    const auto offered = queue_.offer(waiting, now);
    if (offered.kind != ErrorKind::None) {
        refuse(wait, Error{offered.kind, "endpoint " + endpoint_});
    }
    if (offered.displaced) {
        refuse(*offered.displaced,
               Error{ErrorKind::QueueFull,
                     "displaced by a request of another caller at " + endpoint_});
    }
    serveQueue();
    return wait;
}

void EndpointPool::cancel(std::uint64_t wait)
{
    if (waits_.erase(wait) > 0) {
        queue_.remove(wait);
    }
    updateTimer();
}

void EndpointPool::release(HeldConnection held, bool reusable, std::string schemaVersions)
{
    check(heldCount_ > 0, "a released connection was held");
    --heldCount_;
    const auto now = monotonicNow();
    queue_.recordServiceTime(std::chrono::duration_cast<Duration>(now - held.grantedAt));
    if (!reusable || !held.connection->isIdle() || ledger_.excess(endpoint_, now) > 0) {
        held.connection->close();
        recordClosed();
    } else {
        held.schemaVersions = std::move(schemaVersions);
        addIdle(std::move(held));
    }
    serveQueue();
}

std::optional<HeldConnection> EndpointPool::acquireIdle()
{
    while (!idle_.empty()) {
        auto entry = std::move(idle_.back());
        idle_.pop_back();
        if (entry.connection->isIdle()) {
            ++heldCount_;
            entry.grantedAt = monotonicNow();
            return entry;
        }
        recordClosed();
    }
    return std::nullopt;
}

void EndpointPool::serveQueue()
{
    const auto now = monotonicNow();
    while (!queue_.empty()) {
        if (auto entry = acquireIdle()) {
            const auto wait = queue_.take(now);
            if (!wait) {
                --heldCount_;
                idle_.push_back(std::move(*entry));
                break;
            }
            auto node = waits_.extract(*wait);
            check(!node.empty(), "a queued request is known to its pool");
            metrics_.observeQueueWait(
                std::chrono::duration_cast<Duration>(now - node.mapped().queuedAt));
            boost::asio::post(context_, [weak = std::weak_ptr{alive_}, entry = std::move(*entry),
                                         granted = std::move(node.mapped().request.granted)]() {
                if (!weak.expired()) {
                    granted(entry);
                }
            });
            continue;
        }
        if (openingCount_ >= queue_.size()) {
            break;
        }
        if (now < reconnectAt_) {
            if (liveCount() == 0) {
                refuseAll(Error{ErrorKind::Unreachable, "endpoint " + endpoint_ + " is down"});
            }
            break;
        }
        if (!ledger_.tryOpen(endpoint_, now)) {
            handlers_.demandRaised(endpoint_);
            break;
        }
        openConnection();
    }
    updateTimer();
}

void EndpointPool::openConnection()
{
    ++openingCount_;
    metrics_.setEndpointConnections(endpoint_, ledger_.open(endpoint_));
    auto connection = PgConnection::create(context_, target_);
    connection->connect(connectTimeout,
                        [weak = std::weak_ptr{alive_}, connection](const Result<void> &result) {
                            const auto self = weak.lock();
                            if (self) {
                                (*self)->handleConnectResult(connection, result);
                            } else {
                                connection->close();
                            }
                        });
}

void EndpointPool::handleConnectResult(const std::shared_ptr<PgConnection> &connection,
                                       const Result<void> &result)
{
    --openingCount_;
    if (result.has_error()) {
        recordClosed();
        handleConnectFailure(result.error());
        return;
    }
    reconnectDelay_ = Duration::zero();
    handlers_.succeeded(endpoint_);
    addIdle(HeldConnection{nextConnectionId(), connection});
    serveQueue();
}

void EndpointPool::addIdle(HeldConnection pooled)
{
    auto *const raw = pooled.connection.get();
    raw->onClosed([weak = std::weak_ptr{alive_}, raw](const Error & /*error*/) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        auto &idle = (*self)->idle_;
        const auto found = std::find_if(idle.begin(), idle.end(), [raw](const auto &entry) {
            return entry.connection.get() == raw;
        });
        // A connection that is granted to a session is counted as closed when it is released.
        if (found != idle.end()) {
            idle.erase(found);
            (*self)->recordClosed();
        }
    });
    idle_.push_back(std::move(pooled));
}

void EndpointPool::handleConnectFailure(const Error &error)
{
    reconnectDelay_ = std::clamp(reconnectDelay_ * 2, reconnectDelayMin, reconnectDelayMax);
    reconnectAt_ = monotonicNow() + reconnectDelay_;
    handlers_.failed(endpoint_);
    // Refuse the request for which the connection was opened, so that it can use another endpoint.
    if (const auto wait = queue_.take(monotonicNow())) {
        refuse(*wait, error);
    }
    serveQueue();
}

void EndpointPool::refuse(std::uint64_t wait, Error error)
{
    auto node = waits_.extract(wait);
    if (node.empty()) {
        return;
    }
    queue_.remove(wait);
    boost::asio::post(context_, [weak = std::weak_ptr{alive_}, error = std::move(error),
                                 refused = std::move(node.mapped().request.refused)]() {
        if (!weak.expired()) {
            refused(error);
        }
    });
}

void EndpointPool::expireQueued()
{
    for (const auto wait : queue_.expire(monotonicNow())) {
        refuse(wait, Error{ErrorKind::DeadlineExceeded, "endpoint " + endpoint_});
    }
    updateTimer();
}

void EndpointPool::refuseAll(const Error &error)
{
    for (const auto wait : queue_.clear()) {
        refuse(wait, error);
    }
    updateTimer();
}

void EndpointPool::budgetChanged()
{
    closeExcess();
    const auto now = monotonicNow();
    while (now >= reconnectAt_ && liveCount() < warmConnectionCount
           && ledger_.tryOpen(endpoint_, now)) {
        openConnection();
    }
    serveQueue();
}

void EndpointPool::closeExcess()
{
    auto excess = ledger_.excess(endpoint_, monotonicNow());
    for (; excess > 0 && !idle_.empty(); --excess) {
        idle_.front().connection->close();
        idle_.erase(idle_.begin());
        recordClosed();
    }
}

void EndpointPool::recordClosed()
{
    ledger_.recordClosed(endpoint_);
    metrics_.setEndpointConnections(endpoint_, ledger_.open(endpoint_));
}

BudgetDemand EndpointPool::demand() const
{
    return ledger_.demand(endpoint_, static_cast<std::uint32_t>(queue_.size()), warmConnectionCount,
                          monotonicNow());
}

void EndpointPool::updateTimer()
{
    timer_.set(queue_.nextDeadline());
}

} // namespace hyssoprock
