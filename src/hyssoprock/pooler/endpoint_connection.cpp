#include <hyssoprock/pooler/endpoint_connection.hpp>

#include <utility>

#include <hyssoprock/settings/address.hpp>

namespace hyssoprock {

namespace {

// Connecting within a region takes a few milliseconds. The kernel retransmits a lost SYN packet
// only after 1 s, so a longer timeout would not help.
constexpr Duration connectTimeout = std::chrono::milliseconds{300};
constexpr Duration startupTimeout = std::chrono::seconds{1};

} // namespace

EndpointConnection::EndpointConnection(boost::asio::io_context &context, ConnectionId id,
                                       std::unique_ptr<EndpointCodec> codec, ConnectionOwner &owner)
    : stream_{boost::asio::ip::tcp::socket{context}}
    , timer_{context}
    , codec_{std::move(codec)}
    , owner_{&owner}
    , id_{id}
{}

void EndpointConnection::open(const pooler::OpenConnection &target, const std::string &user)
{
    codec_->encodeStartup(target.service, user, target.endpoint, stream_.output());
    const auto address = parseAddress(target.address);
    if (address.has_error()) {
        finish(ConnectionFailure::Refused);
        return;
    }
    armTimer(connectTimeout);
    stream_.socket().async_connect(
        {boost::asio::ip::make_address(address.value().ip), address.value().port},
        [self = shared_from_this()](const boost::system::error_code &error) {
            self->handleConnect(error);
        });
}

void EndpointConnection::armTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        // A wait that completed before the timer was rescheduled still reports success.
        if (!error && self && self->phase_ < Phase::Open
            && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->finish(ConnectionFailure::Silent);
        }
    });
}

void EndpointConnection::handleConnect(const boost::system::error_code &error)
{
    if (phase_ == Phase::Ended) {
        return;
    }
    if (error) {
        finish(error == boost::asio::error::connection_refused ? ConnectionFailure::Refused
               : error == boost::asio::error::connection_reset ? ConnectionFailure::Closed
                                                               : ConnectionFailure::Silent);
        return;
    }
    phase_ = Phase::Starting;
    stream_.configure();
    armTimer(startupTimeout);
    flush();
    awaitReadable();
}

void EndpointConnection::awaitReadable()
{
    if (phase_ == Phase::Ended) {
        return;
    }
    stream_.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->phase_ != Phase::Ended) {
                self->handleReadable();
            }
        });
}

void EndpointConnection::handleReadable()
{
    const auto bytes = stream_.read(owner_->readBuffer());
    if (bytes.has_error()) {
        finish(ConnectionFailure::Closed);
        return;
    }
    codec_->feed(bytes.value());
    handleAnswers();
    awaitReadable();
}

void EndpointConnection::handleAnswers()
{
    while (phase_ != Phase::Ended) {
        auto next = codec_->next();
        if (next.has_error()) {
            finish(ConnectionFailure::Protocol);
            return;
        }
        if (!next.value()) {
            return;
        }
        if (phase_ == Phase::Starting) {
            handleStartupAnswer(*next.value());
        } else if (pendingCommands_ == 0) {
            // An unsolicited answer would be mistaken for the answer to the next command.
            finish(ConnectionFailure::Protocol);
        } else {
            --pendingCommands_;
            owner_->post(pooler::AnswerReceived{id_, std::move(*next.value())});
        }
    }
}

void EndpointConnection::handleStartupAnswer(const StatementAnswer &answer)
{
    timer_.cancel();
    switch (answer.kind) {
    case AnswerKind::Success:
        phase_ = Phase::Open;
        owner_->post(pooler::ConnectionOpened{id_});
        return;
    case AnswerKind::Misrouted:
        finish(ConnectionFailure::Misrouted);
        return;
    case AnswerKind::TooManyConnections:
        finish(ConnectionFailure::TooManyConnections);
        return;
    default:
        finish(ConnectionFailure::Closed);
        return;
    }
}

void EndpointConnection::send(const EndpointCommand &command)
{
    if (phase_ != Phase::Ended) {
        codec_->encodeCommand(command, stream_.output());
        ++pendingCommands_;
    }
}

void EndpointConnection::flush()
{
    if (phase_ == Phase::Connecting || phase_ == Phase::Ended || awaitingWritable_) {
        return;
    }
    switch (stream_.write()) {
    case StreamSocket::Progress::Failed:
        // Bytes received before the failure may contain answers; the next read reports the failure.
        return;
    case StreamSocket::Progress::Partial:
        awaitingWritable_ = true;
        stream_.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_write,
            [self = shared_from_this()](const boost::system::error_code &error) {
                self->awaitingWritable_ = false;
                if (!error) {
                    self->flush();
                }
            });
        return;
    case StreamSocket::Progress::Done:
        return;
    }
}

void EndpointConnection::finish(ConnectionFailure reason)
{
    if (phase_ == Phase::Ended) {
        return;
    }
    auto *owner = owner_;
    close();
    if (owner != nullptr) {
        owner->post(pooler::ConnectionEnded{id_, reason});
    }
}

void EndpointConnection::close()
{
    phase_ = Phase::Ended;
    owner_ = nullptr;
    timer_.cancel();
    stream_.close();
}

} // namespace hyssoprock
