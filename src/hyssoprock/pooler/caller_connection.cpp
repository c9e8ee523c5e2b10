#include <hyssoprock/pooler/caller_connection.hpp>

#include <optional>
#include <utility>
#include <variant>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Memory is reported in blocks of this size, so that ordinary statements are not reported at all.
constexpr std::size_t chargeBlockBytes = 4096;
// Copies of a statement's text while it is in progress: the text, its parsed argument, and the
// output buffer of the endpoint's connection, which grows by doubling.
constexpr std::size_t statementCopies = 4;
// Closing with unread input sends a TCP reset, which can discard the last answer in flight, so
// input is drained first.
constexpr Duration drainTimeout = std::chrono::milliseconds{500};
// Output written this long ago is assumed to have reached the peer.
constexpr Duration deliveryDelay = std::chrono::milliseconds{100};
// Limits the buffered statements of a caller that pipelines; further ones stay in the kernel's
// receive buffer.
constexpr std::size_t undecodedBytesMax = std::size_t{64} * 1024;
// No further statement is processed while more unread output than this is queued.
constexpr std::size_t outputBytesMax = std::size_t{64} * 1024;

} // namespace

PooledCallerConnection::PooledCallerConnection(boost::asio::ip::tcp::socket socket, CallerId id,
                                               std::unique_ptr<CallerCodec> codec,
                                               ConnectionOwner &owner, CallerTimeouts timeouts)
    : stream_{std::move(socket)}
    , timer_{stream_.socket().get_executor()}
    , codec_{std::move(codec)}
    , owner_{&owner}
    , id_{id}
    , timeouts_{timeouts}
{}

void PooledCallerConnection::start()
{
    stream_.configure();
    armTimer(timeouts_.startup);
    awaitReadable();
}

void PooledCallerConnection::armTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        // A wait that completed before the timer was rescheduled still reports success.
        if (!error && self && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            if (self->owner_ != nullptr && self->phase_ < Phase::Draining) {
                self->owner_->callerTimedOut(self->phase_ == Phase::Startup ? "startup" : "answer");
            }
            self->handleDisconnect();
        }
    });
}

void PooledCallerConnection::cancelTimer()
{
    // Moves the expiry as well, so that a wait that has expired already does nothing.
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

void PooledCallerConnection::watchMessage()
{
    const bool wanted = phase_ == Phase::Open && codec_->hasPartialMessage();
    if (messageTimed_ == wanted) {
        return;
    }
    messageTimed_ = wanted;
    if (!wanted) {
        messageTimer_->cancel();
        return;
    }
    if (!messageTimer_) {
        messageTimer_.emplace(stream_.socket().get_executor());
    }
    messageTimer_->expires_after(timeouts_.message);
    messageTimer_->async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->messageTimed_ && self->owner_ != nullptr
            && self->messageTimer_->expiry() <= std::chrono::steady_clock::now()) {
            self->owner_->callerTimedOut("message");
            self->handleDisconnect();
        }
    });
}

void PooledCallerConnection::updateMemory()
{
    if (owner_ == nullptr || phase_ == Phase::Closed) {
        return;
    }
    const auto bytes =
        codec_->bufferedBytes() + stream_.heldBytes() + statementBytes_ + sessionBytes_;
    const auto blocks = bytes / chargeBlockBytes;
    if (blocks != chargedBlocks_) {
        chargedBlocks_ = blocks;
        const auto stopped = !mayRead_;
        mayRead_ = owner_->chargeMemory(id_, blocks * chargeBlockBytes);
        if (stopped && mayRead_) {
            awaitReadable();
        }
    }
}

void PooledCallerConnection::resume()
{
    mayRead_ = true;
    awaitReadable();
}

void PooledCallerConnection::awaitReadable()
{
    const bool wanted = phase_ == Phase::Draining
                        || (phase_ < Phase::Closing && mayRead_
                            && (canAcceptMessage() || undecodedBytes_ <= undecodedBytesMax));
    if (awaitingReadable_ || !wanted) {
        return;
    }
    awaitingReadable_ = true;
    stream_.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code &error) {
            self->awaitingReadable_ = false;
            if (!error) {
                self->handleReadable();
            }
        });
}

void PooledCallerConnection::handleReadable()
{
    if (phase_ == Phase::Closed || phase_ == Phase::Closing) {
        return;
    }
    boost::system::error_code error;
    if (phase_ == Phase::Draining && idleAtClose_ && stream_.socket().available(error) > 0) {
        // The caller sent a statement while the connection was being closed. If the FIN packet is
        // lost, the caller waits 200 ms for its retransmission. Closing with unread input sends a
        // reset, which the caller sees at once; no answer is in flight that the reset could
        // discard.
        handleDisconnect();
        return;
    }
    const auto bytes = stream_.read(owner_->readBuffer());
    if (bytes.has_error()) {
        handleDisconnect();
        return;
    }
    if (phase_ != Phase::Draining) {
        codec_->feed(bytes.value());
        undecodedBytes_ += bytes.value().size();
        handleMessages();
        updateMemory();
    }
    awaitReadable();
}

bool PooledCallerConnection::canAcceptMessage()
{
    return phase_ == Phase::Startup
           || (phase_ == Phase::Open && !awaitingAnswer_
               && stream_.pendingBytes() <= outputBytesMax);
}

void PooledCallerConnection::handleMessages()
{
    while (canAcceptMessage()) {
        auto next = codec_->next();
        if (next.has_error()) {
            const bool hasSession = phase_ != Phase::Startup;
            refuse(next.error().kind == ErrorKind::MessageTooLarge ? AnswerKind::TooLarge
                                                                   : AnswerKind::Malformed,
                   next.error().detail);
            endSession(hasSession);
            return;
        }
        if (!next.value()) {
            undecodedBytes_ = 0;
            watchMessage();
            return;
        }
        if (messageTimed_) {
            messageTimed_ = false;
            messageTimer_->cancel();
        }
        handleMessage(std::move(*next.value()));
    }
}

void PooledCallerConnection::handleMessage(CallerMessage message)
{
    if (auto *statement = std::get_if<Statement>(&message);
        statement != nullptr && phase_ == Phase::Open) {
        awaitingAnswer_ = true;
        statementBytes_ = statement->text.size() * statementCopies;
        owner_->post(pooler::StatementReceived{id_, std::move(*statement)});
        return;
    }
    if (auto *startup = std::get_if<CallerStartup>(&message);
        startup != nullptr && phase_ == Phase::Startup) {
        cancelTimer();
        phase_ = Phase::AwaitingDecision;
        owner_->post(
            pooler::CallerConnected{id_, std::move(startup->database), std::move(startup->user)});
        return;
    }
    const bool hasSession = phase_ != Phase::Startup;
    if (std::holds_alternative<CallerTermination>(message)) {
        close();
    } else {
        refuse(AnswerKind::Malformed, "unexpected message");
    }
    endSession(hasSession);
}

void PooledCallerConnection::endSession(bool hasSession)
{
    if (hasSession) {
        owner_->post(pooler::CallerDisconnected{id_});
    }
    flush();
}

void PooledCallerConnection::accept()
{
    if (phase_ != Phase::AwaitingDecision) {
        return;
    }
    phase_ = Phase::Open;
    codec_->encodeAccepted(stream_.output());
    handleMessages();
    awaitReadable();
}

void PooledCallerConnection::refuse(AnswerKind kind, std::string_view text)
{
    if (phase_ < Phase::Closing) {
        codec_->encodeRefused(kind, text, stream_.output());
        close();
    }
}

void PooledCallerConnection::answer(const StatementAnswer &answer, std::size_t sessionBytes)
{
    if (phase_ != Phase::Open) {
        return;
    }
    awaitingAnswer_ = false;
    statementBytes_ = 0;
    sessionBytes_ = sessionBytes;
    codec_->encodeAnswer(answer, stream_.output());
    handleMessages();
    updateMemory();
    awaitReadable();
}

void PooledCallerConnection::close()
{
    if (phase_ < Phase::Closing) {
        phase_ = Phase::Closing;
        idleAtClose_ = stream_.pendingBytes() == 0 && !awaitingAnswer_
                       && monotonicNow() - lastWriteAt_ >= deliveryDelay;
        armTimer(timeouts_.answer);
    }
}

void PooledCallerConnection::flush()
{
    if (phase_ >= Phase::Draining || awaitingWritable_) {
        return;
    }
    if (stream_.pendingBytes() > 0) {
        lastWriteAt_ = monotonicNow();
    }
    switch (stream_.write()) {
    case StreamSocket::Progress::Failed:
        handleDisconnect();
        return;
    case StreamSocket::Progress::Partial:
        awaitingWritable_ = true;
        armTimer(timeouts_.answer);
        stream_.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_write,
            [self = shared_from_this()](const boost::system::error_code &error) {
                self->awaitingWritable_ = false;
                if (!error) {
                    self->handleWritable();
                }
            });
        return;
    case StreamSocket::Progress::Done:
        updateMemory();
        if (phase_ == Phase::Closing) {
            startDrain();
        }
        return;
    }
}

void PooledCallerConnection::handleWritable()
{
    if (phase_ == Phase::Open) {
        cancelTimer();
    }
    flush();
    if (phase_ == Phase::Open) {
        handleMessages();
        awaitReadable();
    }
}

void PooledCallerConnection::startDrain()
{
    phase_ = Phase::Draining;
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(drainTimeout);
    awaitReadable();
}

void PooledCallerConnection::handleDisconnect()
{
    const bool hasSession = phase_ == Phase::AwaitingDecision || phase_ == Phase::Open;
    const auto self = shared_from_this();
    auto *owner = owner_;
    closeNow();
    if (hasSession && owner != nullptr) {
        owner->post(pooler::CallerDisconnected{id_});
    }
}

void PooledCallerConnection::closeNow()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    timer_.cancel();
    if (messageTimer_) {
        messageTimer_->cancel();
    }
    stream_.close();
    if (auto *owner = std::exchange(owner_, nullptr); owner != nullptr) {
        owner->callerClosed(id_);
    }
}

void PooledCallerConnection::abandon()
{
    owner_ = nullptr;
    closeNow();
}

} // namespace hyssoprock
