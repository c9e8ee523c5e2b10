#include <hyssoprock/endpoint/connection.hpp>

#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <hyssoprock/endpoint/server.hpp>

namespace hyssoprock::endpoint {

namespace {

constexpr std::size_t messageBytesMax = std::size_t{4} * 1024 * 1024;
constexpr std::size_t preambleBytes = 8;
constexpr std::size_t versionOffset = 4;
/// Connections that do not send their startup message within this time are closed.
constexpr std::chrono::seconds startupTimeout{10};
/// Resolves deadlocks of transactions that lock two tables in opposite order.
constexpr std::chrono::seconds tableWaitTimeout{1};
constexpr std::uint32_t secretKeyFactor = 2654435761U;

} // namespace

Connection::Connection(Server &server, boost::asio::ip::tcp::socket socket)
    : server_{server}
    , socket_{std::move(socket)}
    , processId_{server.nextProcessId()}
    , secretKey_{processId_ * secretKeyFactor}
    , decoder_{messageBytesMax}
    , session_{server.instance(), processId_, secretKey_}
    , timer_{server.context()}
{}

Connection::~Connection()
{
    close();
}

void Connection::start()
{
    timer_.expires_after(startupTimeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (const auto self = weak.lock();
            self && !error && self->decoder_.inStartup() && self->kind_ != Kind::Replica) {
            self->close();
        }
    });
    read();
}

void Connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (countedAsConnection_) {
        --server_.instance().counters.connections;
    }
    if (inFlight_) {
        --server_.instance().counters.inFlight;
        inFlight_ = false;
    }
    waitsForTable_ = false;
    session_.rollback();
    releaseSlot();
    // Statements of other sessions may wait for table locks of this one.
    boost::asio::post(server_.context(), [&server = server_] { server.handleStateChange(); });
}

void Connection::read()
{
    if (closed_ || reading_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->server_.runUnlessCutOff([self, error, count] {
                self->reading_ = false;
                if (error) {
                    self->close();
                } else if (!self->closed_) {
                    self->handleBytes({self->buffer_.data(), count});
                }
            });
        });
}

void Connection::handleBytes(std::string_view bytes)
{
    switch (kind_) {
    case Kind::Unknown:
        preamble_.append(bytes);
        detectKind();
        break;
    case Kind::Caller:
        decoder_.append(bytes);
        handleNextMessage();
        break;
    case Kind::Replica:
        frames_.append(bytes);
        handleNextFrame();
        break;
    }
}

void Connection::detectKind()
{
    if (preamble_.size() < preambleBytes) {
        read();
        return;
    }
    const bool isFrame =
        preamble_[versionOffset] == 0 && preamble_[versionOffset + 1] == frameVersion;
    kind_ = isFrame ? Kind::Replica : Kind::Caller;
    handleBytes(std::exchange(preamble_, {}));
}

void Connection::handleNextMessage()
{
    if (closed_ || handlingMessage_) {
        return;
    }
    auto next = decoder_.next();
    if (next.has_error()) {
        handlingMessage_ = true;
        session_.sendFatalError(pgwire::toNotice(next.error(), "FATAL"));
        send(true);
    } else if (next.value()) {
        handlingMessage_ = true;
        dispatch(std::move(*next.value()));
    } else {
        read();
    }
}

void Connection::dispatch(pgwire::FrontendMessage message)
{
    if (const auto *cancelRequest = std::get_if<pgwire::CancelRequest>(&message)) {
        server_.cancel(cancelRequest->processId, cancelRequest->secretKey);
        close();
    } else if (const auto *startup = std::get_if<pgwire::StartupMessage>(&message)) {
        server_.runAfter(
            server_.settings().connectDelay,
            [self = shared_from_this(), startup = *startup] { self->startSession(startup); });
    } else if (WireSession::runsStatements(message) && !administrative_) {
        runInSlot(std::move(message));
    } else {
        handleStep(session_.handle(message, server_.now()));
    }
}

bool Connection::admit(const pgwire::StartupMessage &message)
{
    administrative_ = WireSession::isAdministrative(message);
    const auto &settings = server_.settings();
    auto &counters = server_.instance().counters;
    const auto reserved = administrative_ ? 0 : settings.reservedConnectionCount;
    if (counters.connections + reserved >= settings.connectionCountMax) {
        return false;
    }
    ++counters.connections;
    countedAsConnection_ = true;
    return true;
}

void Connection::startSession(const pgwire::StartupMessage &message)
{
    if (closed_) {
        return;
    }
    timer_.cancel();
    if (!admit(message)) {
        session_.sendFatalError(pgwire::toNotice({ErrorKind::TooManyConnections, {}}, "FATAL"));
        send(true);
        return;
    }
    handleStep(session_.handle(message, server_.now()));
}

void Connection::runInSlot(pgwire::FrontendMessage message)
{
    answersStatement_ = true;
    if (!std::exchange(inFlight_, true)) {
        ++server_.instance().counters.inFlight;
    }
    server_.slots().acquire([self = shared_from_this(), message = std::move(message)] {
        self->holdsSlot_ = true;
        if (self->closed_) {
            self->releaseSlot();
            return;
        }
        self->server_.runAfter(self->server_.settings().serviceTime, [self, message] {
            if (!self->closed_) {
                self->handleStep(self->session_.handle(message, self->server_.now()));
            }
        });
    });
}

void Connection::releaseSlot()
{
    if (std::exchange(holdsSlot_, false)) {
        server_.slots().release();
    }
}

void Connection::updateInFlight()
{
    if (inFlight_ && !session_.inTransaction() && !waitsForTable_) {
        inFlight_ = false;
        --server_.instance().counters.inFlight;
    }
}

void Connection::handleStep(WireSession::Step step)
{
    if (step == WireSession::Step::Blocked) {
        // Releases the slot so that the transaction that holds the lock can finish.
        releaseSlot();
        waitForTable();
        return;
    }
    updateInFlight();
    releaseSlot();
    send(step == WireSession::Step::Close);
    server_.handleStateChange();
}

void Connection::waitForTable()
{
    if (waitsForTable_) {
        server_.addTableWaiter(shared_from_this());
        return;
    }
    waitsForTable_ = true;
    server_.addTableWaiter(shared_from_this());
    timer_.expires_after(tableWaitTimeout);
    // Only this handler keeps the connection alive while its statement waits.
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->server_.runUnlessStalled([self] {
                self->endTableWait(
                    {"ERROR", "40P01", "the table stayed locked by another transaction", {}, {}});
            });
        }
    });
}

void Connection::endTableWait(const pgwire::Notice &reason)
{
    if (!closed_ && std::exchange(waitsForTable_, false)) {
        timer_.cancel();
        handleStep(session_.cancel(reason));
    }
}

void Connection::retryBlockedStatement()
{
    if (closed_ || !waitsForTable_) {
        return;
    }
    const auto step = session_.resume(server_.now());
    if (step != WireSession::Step::Blocked) {
        waitsForTable_ = false;
        timer_.cancel();
    }
    handleStep(step);
}

void Connection::cancel(std::uint32_t processId, std::uint32_t secretKey)
{
    if (processId == processId_ && secretKey == secretKey_) {
        endTableWait({"ERROR", "57014", "canceling statement due to user request", {}, {}});
    }
}

void Connection::send(bool thenClose)
{
    auto bytes = session_.takeOutput();
    const auto answerDelay = server_.instance().faults.answerDelay;
    if (!std::exchange(answersStatement_, false) || answerDelay == Duration{0}) {
        write(std::move(bytes), thenClose);
        return;
    }
    server_.runAfter(answerDelay,
                     [self = shared_from_this(), bytes = std::move(bytes), thenClose]() mutable {
                         self->write(std::move(bytes), thenClose);
                     });
}

void Connection::write(std::string bytes, bool thenClose)
{
    if (closed_) {
        return;
    }
    if (server_.now() < server_.instance().faults.cutOffUntil) {
        return; // The answer is lost; the connection is closed when the cut-off ends.
    }
    const auto data = std::make_shared<std::string>(std::move(bytes));
    boost::asio::async_write(socket_, boost::asio::buffer(*data),
                             [self = shared_from_this(), data, thenClose](
                                 const boost::system::error_code &error, std::size_t /*count*/) {
                                 self->server_.runUnlessStalled([self, error, thenClose] {
                                     if (error || thenClose) {
                                         self->close();
                                         return;
                                     }
                                     self->handlingMessage_ = false;
                                     if (self->kind_ == Kind::Replica) {
                                         self->handleNextFrame();
                                     } else {
                                         self->handleNextMessage();
                                     }
                                 });
                             });
}

void Connection::handleNextFrame()
{
    if (closed_ || handlingMessage_) {
        return;
    }
    auto next = frames_.next();
    if (next.has_error()) {
        Server::log("replication connection closed: " + next.error().detail);
        close();
        return;
    }
    if (!next.value()) {
        read();
        return;
    }
    auto fetch = decodeMessage<ReplicaFetch>(*next.value());
    if (fetch.has_error()) {
        Server::log("replication connection closed: " + fetch.error().detail);
        close();
        return;
    }
    pendingFetch_ = std::move(fetch.value());
    answerPendingFetch();
    if (!handlingMessage_) {
        read();
    }
}

void Connection::answerPendingFetch()
{
    if (closed_ || handlingMessage_ || !pendingFetch_) {
        return;
    }
    if (const auto answer = server_.instance().database.handleFetch(*pendingFetch_)) {
        pendingFetch_.reset();
        handlingMessage_ = true;
        write(frameOf(*answer), false);
    }
    server_.notifyReplicas();
}

} // namespace hyssoprock::endpoint
