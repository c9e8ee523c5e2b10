#include <hyssoprock/pooler/endpoint_connection.hpp>

#include <utility>

#include <hyssoprock/settings/address.hpp>

namespace hyssoprock {

namespace {

// A connection within the region takes a few milliseconds. A lost first packet is sent again by
// the kernel after 1 s, so waiting longer for one attempt gains nothing.
constexpr Duration connectTimeout = std::chrono::milliseconds{300};
constexpr Duration startupTimeout = std::chrono::seconds{1};

} // namespace

EndpointConnection::EndpointConnection(boost::asio::io_context &context, ConnectionId id,
                                       std::unique_ptr<EndpointCodec> codec, ConnectionOwner &host)
    : stream_{boost::asio::ip::tcp::socket{context}}
    , timer_{context}
    , codec_{std::move(codec)}
    , host_{&host}
    , id_{id}
{}

void EndpointConnection::open(const pooler::OpenConnection &target, const std::string &user)
{
    codec_->encodeStartup(target.service, user, target.endpoint, stream_.output());
    const auto address = parseAddress(target.address);
    if (address.has_error()) {
        end(ConnectionFailure::Refused);
        return;
    }
    armTimer(connectTimeout);
    stream_.socket().async_connect(
        {boost::asio::ip::make_address(address.value().ip), address.value().port},
        [self = shared_from_this()](const boost::system::error_code &error) {
            self->connected(error);
        });
}

void EndpointConnection::armTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        // A wait that had expired when the timer was moved still reports success.
        if (!error && self && self->phase_ < Phase::Open
            && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->end(ConnectionFailure::Silent);
        }
    });
}

void EndpointConnection::connected(const boost::system::error_code &error)
{
    if (phase_ == Phase::Ended) {
        return;
    }
    if (error) {
        end(error == boost::asio::error::connection_refused ? ConnectionFailure::Refused
            : error == boost::asio::error::connection_reset ? ConnectionFailure::Closed
                                                            : ConnectionFailure::Silent);
        return;
    }
    phase_ = Phase::Starting;
    stream_.configure();
    armTimer(startupTimeout);
    flush();
    readLater();
}

void EndpointConnection::readLater()
{
    if (phase_ == Phase::Ended) {
        return;
    }
    stream_.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->phase_ != Phase::Ended) {
                self->readable();
            }
        });
}

void EndpointConnection::readable()
{
    const auto bytes = stream_.read(host_->readBuffer());
    if (bytes.has_error()) {
        end(ConnectionFailure::Closed);
        return;
    }
    codec_->feed(bytes.value());
    takeAnswers();
    readLater();
}

void EndpointConnection::takeAnswers()
{
    while (phase_ != Phase::Ended) {
        auto next = codec_->next();
        if (next.has_error()) {
            end(ConnectionFailure::Protocol);
            return;
        }
        if (!next.value()) {
            return;
        }
        if (phase_ == Phase::Starting) {
            takeStartupAnswer(*next.value());
        } else if (unanswered_ == 0) {
            // An answer without a command could be taken for the answer to the next one.
            end(ConnectionFailure::Protocol);
        } else {
            --unanswered_;
            host_->post(pooler::AnswerReceived{id_, std::move(*next.value())});
        }
    }
}

void EndpointConnection::takeStartupAnswer(const StatementAnswer &answer)
{
    timer_.cancel();
    switch (answer.kind) {
    case AnswerKind::Success:
        phase_ = Phase::Open;
        host_->post(pooler::ConnectionOpened{id_});
        return;
    case AnswerKind::Misrouted:
        end(ConnectionFailure::Misrouted);
        return;
    case AnswerKind::TooManyConnections:
        end(ConnectionFailure::TooManyConnections);
        return;
    default:
        end(ConnectionFailure::Closed);
        return;
    }
}

void EndpointConnection::send(const EndpointCommand &command)
{
    if (phase_ != Phase::Ended) {
        codec_->encodeCommand(command, stream_.output());
        ++unanswered_;
    }
}

void EndpointConnection::flush()
{
    if (phase_ == Phase::Connecting || phase_ == Phase::Ended || waitingWritable_) {
        return;
    }
    switch (stream_.write()) {
    case StreamSocket::Progress::Failed:
        // Bytes received before the failure may hold answers; the next read reports its end.
        return;
    case StreamSocket::Progress::Partial:
        waitingWritable_ = true;
        stream_.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_write,
            [self = shared_from_this()](const boost::system::error_code &error) {
                self->waitingWritable_ = false;
                if (!error) {
                    self->flush();
                }
            });
        return;
    case StreamSocket::Progress::Done:
        return;
    }
}

void EndpointConnection::end(ConnectionFailure reason)
{
    if (phase_ == Phase::Ended) {
        return;
    }
    auto *host = host_;
    close();
    if (host != nullptr) {
        host->post(pooler::ConnectionEnded{id_, reason});
    }
}

void EndpointConnection::close()
{
    phase_ = Phase::Ended;
    host_ = nullptr;
    timer_.cancel();
    stream_.close();
}

} // namespace hyssoprock
