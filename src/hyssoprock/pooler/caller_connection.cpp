#include <hyssoprock/pooler/caller_connection.hpp>

#include <optional>
#include <utility>
#include <variant>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration startupTimeout = std::chrono::seconds{10};
// A caller that takes nothing of its answer for this long is taken for dead.
constexpr Duration writeTimeout = std::chrono::seconds{10};
// Unread input would turn the close into a reset, which could destroy the last answer on its way.
constexpr Duration drainTimeout = std::chrono::milliseconds{500};
// The peer has received what was written this long ago.
constexpr Duration deliveryTime = std::chrono::milliseconds{100};
// Statements of a caller that does not wait for answers are left in the kernel beyond this.
constexpr std::size_t backlogBytesMost = std::size_t{64} * 1024;
// No further statement is taken from a caller that leaves this much unread.
constexpr std::size_t outputBytesMost = std::size_t{64} * 1024;

} // namespace

PooledCallerConnection::PooledCallerConnection(boost::asio::ip::tcp::socket socket, CallerId id,
                                               std::unique_ptr<CallerCodec> codec,
                                               ConnectionOwner &host)
    : stream_{std::move(socket)}
    , timer_{stream_.socket().get_executor()}
    , codec_{std::move(codec)}
    , host_{&host}
    , id_{id}
{}

void PooledCallerConnection::start()
{
    stream_.configure();
    armTimer(startupTimeout);
    readLater();
}

void PooledCallerConnection::armTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        // A wait that had expired when the timer was moved still reports success.
        if (!error && self && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->lost();
        }
    });
}

void PooledCallerConnection::disarmTimer()
{
    // Moves the expiry as well, so that a wait that has expired already does nothing.
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

void PooledCallerConnection::readLater()
{
    const bool wanted =
        phase_ == Phase::Draining
        || (phase_ < Phase::Closing && (mayTake() || backlogBytes_ <= backlogBytesMost));
    if (waitingReadable_ || !wanted) {
        return;
    }
    waitingReadable_ = true;
    stream_.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code &error) {
            self->waitingReadable_ = false;
            if (!error) {
                self->readable();
            }
        });
}

void PooledCallerConnection::readable()
{
    if (phase_ == Phase::Closed || phase_ == Phase::Closing) {
        return;
    }
    boost::system::error_code error;
    if (phase_ == Phase::Draining && idleAtClose_ && stream_.socket().available(error) > 0) {
        // A statement that crossed the close. If the end of the stream is lost on its way, the
        // caller waits 200 ms for its repetition; a reset, which unread input causes, tells it at
        // once, and there is no answer that it could destroy.
        lost();
        return;
    }
    const auto bytes = stream_.read(host_->readBuffer());
    if (bytes.has_error()) {
        lost();
        return;
    }
    if (phase_ != Phase::Draining) {
        codec_->feed(bytes.value());
        backlogBytes_ += bytes.value().size();
        takeMessages();
    }
    readLater();
}

bool PooledCallerConnection::mayTake()
{
    return phase_ == Phase::Startup
           || (phase_ == Phase::Open && !awaitingAnswer_
               && stream_.pendingBytes() <= outputBytesMost);
}

void PooledCallerConnection::takeMessages()
{
    while (mayTake()) {
        auto next = codec_->next();
        if (next.has_error()) {
            const bool known = phase_ != Phase::Startup;
            refuse(next.error().kind == ErrorKind::MessageTooLarge ? AnswerKind::TooLarge
                                                                   : AnswerKind::Malformed,
                   next.error().detail);
            leave(known);
            return;
        }
        if (!next.value()) {
            backlogBytes_ = 0;
            return;
        }
        take(std::move(*next.value()));
    }
}

void PooledCallerConnection::take(CallerMessage message)
{
    if (auto *statement = std::get_if<Statement>(&message);
        statement != nullptr && phase_ == Phase::Open) {
        awaitingAnswer_ = true;
        host_->post(pooler::StatementReceived{id_, std::move(*statement)});
        return;
    }
    if (auto *startup = std::get_if<CallerStartup>(&message);
        startup != nullptr && phase_ == Phase::Startup) {
        disarmTimer();
        phase_ = Phase::Deciding;
        host_->post(
            pooler::CallerConnected{id_, std::move(startup->database), std::move(startup->user)});
        return;
    }
    const bool known = phase_ != Phase::Startup;
    if (std::holds_alternative<CallerTermination>(message)) {
        close();
    } else {
        refuse(AnswerKind::Malformed, "this message is not expected here");
    }
    leave(known);
}

void PooledCallerConnection::leave(bool known)
{
    if (known) {
        host_->post(pooler::CallerDisconnected{id_});
    }
    flush();
}

void PooledCallerConnection::accept()
{
    if (phase_ != Phase::Deciding) {
        return;
    }
    phase_ = Phase::Open;
    codec_->encodeAccepted(stream_.output());
    takeMessages();
    readLater();
}

void PooledCallerConnection::refuse(AnswerKind kind, std::string_view text)
{
    if (phase_ < Phase::Closing) {
        codec_->encodeRefused(kind, text, stream_.output());
        close();
    }
}

void PooledCallerConnection::answer(const StatementAnswer &answer)
{
    if (phase_ != Phase::Open) {
        return;
    }
    awaitingAnswer_ = false;
    codec_->encodeAnswer(answer, stream_.output());
    takeMessages();
    readLater();
}

void PooledCallerConnection::close()
{
    if (phase_ < Phase::Closing) {
        phase_ = Phase::Closing;
        idleAtClose_ = stream_.pendingBytes() == 0 && !awaitingAnswer_
                       && monotonicNow() - writtenAt_ >= deliveryTime;
        armTimer(writeTimeout);
    }
}

void PooledCallerConnection::flush()
{
    if (phase_ >= Phase::Draining || waitingWritable_) {
        return;
    }
    if (stream_.pendingBytes() > 0) {
        writtenAt_ = monotonicNow();
    }
    switch (stream_.write()) {
    case StreamSocket::Progress::Failed:
        lost();
        return;
    case StreamSocket::Progress::Partial:
        waitingWritable_ = true;
        armTimer(writeTimeout);
        stream_.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_write,
            [self = shared_from_this()](const boost::system::error_code &error) {
                self->waitingWritable_ = false;
                if (!error) {
                    self->writable();
                }
            });
        return;
    case StreamSocket::Progress::Done:
        if (phase_ == Phase::Closing) {
            drain();
        }
        return;
    }
}

void PooledCallerConnection::writable()
{
    if (phase_ == Phase::Open) {
        disarmTimer();
    }
    flush();
    if (phase_ == Phase::Open) {
        takeMessages();
        readLater();
    }
}

void PooledCallerConnection::drain()
{
    phase_ = Phase::Draining;
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(drainTimeout);
    readLater();
}

void PooledCallerConnection::lost()
{
    const bool known = phase_ == Phase::Deciding || phase_ == Phase::Open;
    const auto self = shared_from_this();
    auto *host = host_;
    closeNow();
    if (known && host != nullptr) {
        host->post(pooler::CallerDisconnected{id_});
    }
}

void PooledCallerConnection::closeNow()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    timer_.cancel();
    stream_.close();
    if (auto *host = std::exchange(host_, nullptr); host != nullptr) {
        host->callerClosed(id_);
    }
}

void PooledCallerConnection::abandon()
{
    host_ = nullptr;
    closeNow();
}

} // namespace hyssoprock
