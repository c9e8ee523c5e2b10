#include <hyssoprock/daemon/entry/caller_connection.hpp>

#include <charconv>
#include <utility>

#include <boost/asio/post.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/shared/endpoint_report_reader.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// The session machine enforces the statement timeout. The timeout of the connection is longer by
// this duration and serves as a fallback.
constexpr Duration statementTimeoutSlack = std::chrono::seconds{1};

TransactionState toStatus(char letter)
{
    if (letter == 'T') {
        return TransactionState::Open;
    }
    return letter == 'E' ? TransactionState::Failed : TransactionState::Idle;
}

StatementResult toResult(PgStatementResult statement)
{
    StatementResult result;
    result.columns.reserve(statement.columns.size());
    for (auto &column : statement.columns) {
        result.columns.push_back(ResultColumn{std::move(column.name), column.typeOid});
    }
    result.rows = std::move(statement.rows);
    result.tag = std::move(statement.commandTag);
    return result;
}

} // namespace

CallerConnection::CallerConnection(CallerHost &host, std::uint64_t session,
                                   boost::asio::ip::tcp::socket socket)
    : host_{host}
    , session_{session}
    , secretKey_{static_cast<std::uint32_t>(host.random().next())}
    , stream_{std::make_shared<CallerStream>(std::move(socket),
                                             host.settings().request.messageBytesMax)}
    , timer_{host.context(), [this]() { handle(Tick{}); }}
    , idleTimer_{host.context(), [this]() {
                     endSession(Error{ErrorKind::DeadlineExceeded, "the connection was idle"});
                 }}
{}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start()
{
    CallerStream::Handlers handlers;
    handlers.message = [self = shared_from_this()](pgwire::FrontendMessage message) {
        self->handleMessage(std::move(message));
    };
    handlers.refused = [self = shared_from_this()](const Error &error) { self->refuse(error); };
    handlers.disconnected = [self = shared_from_this()]() { self->close(); };
    stream_->start(std::move(handlers));
    stream_->requestMessage();
}

void CallerConnection::handle(const SessionEvent &event)
{
    if (!machine_) {
        return;
    }
    const auto self = shared_from_this();
    const auto actions = machine_->handle(event, monotonicNow());
    for (const auto &action : actions) {
        execute(action);
    }
    if (machine_) {
        timer_.set(machine_->nextDeadline());
    }
    host_.tablesChanged();
}

bool CallerConnection::isAffectedByViews() const
{
    return machine_
           && (machine_->isBusy() || machine_->transactionStatus() != TransactionState::Idle);
}

void CallerConnection::leave()
{
    if (machine_) {
        handle(HostLeaving{});
    } else {
        endSession(Error{ErrorKind::HostLeaving, ""});
    }
}

void CallerConnection::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    const auto self = shared_from_this();
    handle(CallerDisconnected{});
    for (const auto &[acquire, wait] : std::exchange(pendingAcquires_, {})) {
        wait.pool->cancel(wait.number);
    }
    for (auto &[id, held] : std::exchange(held_, {})) {
        held.pool->release(std::move(held.pooled), false, "");
    }
    machine_.reset();
    timer_.set(std::nullopt);
    idleTimer_.set(std::nullopt);
    stream_->finish();
    host_.callerClosed(session_);
}

void CallerConnection::restartIdleTimer()
{
    idleTimer_.set(monotonicNow() + host_.settings().session.idleTimeout);
}

void CallerConnection::execute(const SessionAction &action)
{
    std::visit([this](const auto &body) { execute(body); }, action);
}

void CallerConnection::execute(const AcquireConnection &action)
{
    const auto pool = host_.pool(action.endpoint);
    const auto fail = [&](Error error) {
        boost::asio::post(host_.context(),
                          [self = shared_from_this(), acquire = action.acquire,
                           error = std::move(error)]() { self->handleRefusal(acquire, error); });
    };
    if (!pool) {
        fail(Error{ErrorKind::Unreachable, "no address of endpoint " + action.endpoint});
        return;
    }
    if (action.retry && !host_.tryRetry()) {
        fail(Error{ErrorKind::RetryBudgetExhausted, ""});
        return;
    }
    purposes_[action.acquire] = action.purpose;
    PoolRequest request;
    request.caller = user_;
    request.deadline = action.deadline;
    request.granted = [self = shared_from_this(), acquire = action.acquire,
                       endpoint = action.endpoint, pool](const HeldConnection &pooled) {
        self->handleGrant(acquire, endpoint, pool, pooled);
    };
    request.refused = [self = shared_from_this(), acquire = action.acquire](const Error &error) {
        self->handleRefusal(acquire, error);
    };
    pendingAcquires_[action.acquire] = PendingAcquire{pool, 0};
    pendingAcquires_[action.acquire].number = pool->acquire(std::move(request));
}

void CallerConnection::handleGrant(AcquireId acquire, const std::string &endpoint,
                                   const std::shared_ptr<EndpointPool> &pool,
                                   const HeldConnection &pooled)
{
    pendingAcquires_.erase(acquire);
    if (closed_ || !pooled.connection->isIdle()) {
        pool->release(pooled, true, pooled.schemaVersions);
        handleRefusal(acquire, Error{ErrorKind::Unreachable, "the idle connection was closed"});
        return;
    }
    pooled.connection->onClosed([weak = weak_from_this(), id = pooled.id](const Error & /*why*/) {
        if (const auto self = weak.lock()) {
            self->handleConnectionLoss(id);
        }
    });
    held_.emplace(pooled.id, SessionConnection{pooled, pool, endpoint});
    lastWasRead_ = purposes_[acquire] == ConnectionPurpose::Read;
    purposes_.erase(acquire);
    handle(ConnectionGranted{acquire, pooled.id, pooled.schemaVersions});
}

void CallerConnection::handleRefusal(AcquireId acquire, const Error &error)
{
    pendingAcquires_.erase(acquire);
    purposes_.erase(acquire);
    handle(ConnectionRefused{acquire, error.kind, error.detail});
}

void CallerConnection::execute(const CancelAcquire &action)
{
    if (const auto found = pendingAcquires_.find(action.acquire); found != pendingAcquires_.end()) {
        found->second.pool->cancel(found->second.number);
        pendingAcquires_.erase(found);
        purposes_.erase(action.acquire);
    }
}

void CallerConnection::execute(const SendCommand &action)
{
    const auto found = held_.find(action.connection);
    if (found == held_.end() || !found->second.pooled.connection->isIdle()) {
        boost::asio::post(host_.context(), [self = shared_from_this(), id = action.connection]() {
            self->handleConnectionLoss(id);
        });
        return;
    }
    const auto &connection = found->second.pooled.connection;
    const auto &request = host_.settings().request;
    const auto query = host_.endpointDialect().encode(action.command);
    connection->enableStreaming(
        request.bufferBytes,
        [weak = weak_from_this(), id = action.connection, send = action.send,
         expected = query.expected](std::uint32_t index, PgStatementResult rows) {
            if (const auto self = weak.lock()) {
                self->handleAnswerPart(id, send, expected, index, std::move(rows));
            }
        });
    connection->query(query.text, request.statementTimeout + statementTimeoutSlack,
                      [weak = weak_from_this(), id = action.connection, send = action.send,
                       expected = query.expected](Result<PgAnswer> result) {
                          if (const auto self = weak.lock()) {
                              self->handleAnswer(id, send, expected, std::move(result));
                          }
                      });
}

void CallerConnection::handleAnswer(ConnectionId connection, SendId send,
                                    const ExpectedAnswer &expected, Result<PgAnswer> result)
{
    const auto found = held_.find(connection);
    if (found == held_.end()) {
        return;
    }
    if (result.has_error()) {
        // The onClosed callback reports the lost connection.
        return;
    }
    servedBy_ = found->second.endpoint;
    host_.recordEndpointResult(servedBy_, true);
    EndpointAnswer event;
    event.connection = connection;
    event.send = send;
    event.status = toStatus(result.value().transactionStatus);
    event.report = readEndpointReport(*found->second.pooled.connection);
    for (auto &statement : result.value().statements) {
        if (statement.error) {
            event.error = SqlError{statement.error->state, statement.error->message};
        } else if (!statement.emptyQuery) {
            event.results.push_back(toResult(std::move(statement)));
        }
    }
    handle(host_.endpointDialect().interpret(expected, std::move(event)));
}

void CallerConnection::handleAnswerPart(ConnectionId connection, SendId send,
                                        const ExpectedAnswer &expected, std::uint32_t statement,
                                        PgStatementResult rows)
{
    const auto found = held_.find(connection);
    if (found == held_.end()) {
        return;
    }
    servedBy_ = found->second.endpoint;
    handle(host_.endpointDialect().interpretPart(
        expected, AnswerPart{connection, send, toResult(std::move(rows)), statement,
                             readEndpointReport(*found->second.pooled.connection)}));
}

void CallerConnection::handleConnectionLoss(ConnectionId connection)
{
    if (const auto found = held_.find(connection); found != held_.end()) {
        host_.recordEndpointResult(found->second.endpoint, false);
        handle(ConnectionLost{connection});
    }
}

void CallerConnection::execute(const ReleaseConnection &action)
{
    auto node = held_.extract(action.connection);
    if (node.empty()) {
        return;
    }
    auto &held = node.mapped();
    held.pooled.connection->onClosed({});
    held.pool->release(std::move(held.pooled), action.reusable, action.schemaVersions);
}

void CallerConnection::execute(const AnswerCaller &action)
{
    recordMetrics(action);
    reportEndpoint();
    writer_.writeAnswer(action);
    flush();
    restartIdleTimer();
    stream_->requestMessage();
}

bool CallerConnection::servedByPrimary() const
{
    const auto *view = host_.tables().views.view(group_);
    return view != nullptr && view->primary == servedBy_;
}

void CallerConnection::reportEndpoint()
{
    if (servedBy_.empty() || servedBy_ + (servedByPrimary() ? "+" : "-") == reportedEndpoint_) {
        return;
    }
    reportedEndpoint_ = servedBy_ + (servedByPrimary() ? "+" : "-");
    writer_.writeParameter("hyssoprock.served_by", servedByPrimary() ? "primary" : "replica");
    writer_.writeParameter("hyssoprock.endpoint", servedBy_);
}

void CallerConnection::recordMetrics(const AnswerCaller &answer)
{
    auto &metrics = host_.metrics();
    metrics.observeRequest(
        lastWasRead_ ? "read" : "write",
        std::chrono::duration_cast<Duration>(monotonicNow() - requestStartedAt_));
    if (answer.error) {
        const auto kind = answer.error->kind;
        metrics.countError(kind == ErrorKind::None ? "endpoint" : toString(kind));
    }
    if (lastWasRead_ && !answer.error && !servedBy_.empty()) {
        metrics.countRead(servedByPrimary() ? "primary" : "replica");
    } else if (!lastWasRead_ && !servedBy_.empty()) {
        metrics.countWrite(!answer.error ? "done" : toString(answer.error->kind));
    }
}

void CallerConnection::execute(const ForwardRows &action)
{
    writer_.writeRows(action);
    flush();
}

void CallerConnection::execute(const ContinueReading &action)
{
    const auto found = held_.find(action.connection);
    if (found == held_.end()) {
        return;
    }
    // Backpressure: the answer of the endpoint is read only as fast as the caller reads it.
    stream_->onDrained(
        [connection = found->second.pooled.connection]() { connection->resumeReading(); });
}

void CallerConnection::execute(const ReportToken &action)
{
    writer_.writeParameter("hyssoprock.session", action.token);
}

void CallerConnection::execute(const LogLine &action)
{
    writeLog(action.text);
}

void CallerConnection::execute(const CloseCaller &action)
{
    if (action.kind != ErrorKind::None && !closed_) {
        pgwire::BackendEncoder encoder;
        auto notice = pgwire::toNotice(Error{action.kind, ""}, "FATAL");
        if (action.kind == ErrorKind::HostLeaving) {
            // No request is open. The default text "not run" could be read as the outcome of the
            // previous request, which did run.
            notice.message = "this host is shutting down; no request was open";
        }
        encoder.errorResponse(notice);
        stream_->send(encoder.take());
    }
    boost::asio::post(host_.context(), [self = shared_from_this()]() { self->close(); });
}

void CallerConnection::flush()
{
    if (!writer_.empty()) {
        stream_->send(writer_.take());
    }
}

} // namespace hyssoprock
