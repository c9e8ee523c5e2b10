#include <hyssoprock/transport/pg_connection.hpp>

#include <array>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <libpq-fe.h>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t answerBytesMaxDefault = std::size_t{64} * 1024 * 1024;
constexpr const char *tooManyConnectionsSqlState = "53300";

void ignoreNotice(void * /*context*/, const PGresult * /*result*/) {}

} // namespace

void PgConnection::ConnectionDeleter::operator()(pg_conn *connection) const noexcept
{
    PQfinish(connection);
}

std::shared_ptr<PgConnection> PgConnection::create(boost::asio::io_context &context,
                                                   PgTarget target)
{
    return std::shared_ptr<PgConnection>{new PgConnection{context, std::move(target)}};
}

PgConnection::PgConnection(boost::asio::io_context &context, PgTarget target)
    : target_{std::move(target)}
    , context_{context}
    , descriptor_{context}
    , timer_{context}
    , answerBytesMax_{answerBytesMaxDefault}
{}

PgConnection::~PgConnection()
{
    // libpq owns the file descriptor.
    if (descriptor_.is_open()) {
        descriptor_.release();
    }
}

void PgConnection::connect(Duration timeout, ConnectCallback connected)
{
    check(phase_ == Phase::Created, "a connection is opened once");
    phase_ = Phase::Connecting;
    connectCallback_ = std::move(connected);
    const auto port = std::to_string(target_.address.port);
    const std::array keywords{"hostaddr",
                              "port",
                              "dbname",
                              "user",
                              "application_name",
                              "sslmode",
                              "gssencmode",
                              "client_encoding",
                              static_cast<const char *>(nullptr)};
    const std::array values{target_.address.ip.c_str(),
                            port.c_str(),
                            target_.database.c_str(),
                            target_.user.c_str(),
                            target_.applicationName.c_str(),
                            "disable",
                            "disable",
                            "UTF8",
                            static_cast<const char *>(nullptr)};
    connection_.reset(PQconnectStartParams(keywords.data(), values.data(), 0));
    if (!connection_ || PQstatus(connection_.get()) == CONNECTION_BAD) {
        boost::asio::post(context_, [self = shared_from_this()]() {
            self->fail(Error{ErrorKind::Unreachable, self->errorMessage()});
        });
        return;
    }
    PQsetNoticeReceiver(connection_.get(), &ignoreNotice, nullptr);
    armTimer(timeout, "no connection to the endpoint in time");
    if (watchSocket()) {
        waitWritable();
    }
}

bool PgConnection::watchSocket()
{
    const int socket = PQsocket(connection_.get());
    if (socket < 0) {
        fail(Error{ErrorKind::Unreachable, errorMessage()});
        return false;
    }
    if (descriptor_.is_open() && descriptor_.native_handle() != socket) {
        descriptor_.release();
    }
    if (!descriptor_.is_open()) {
        boost::system::error_code error;
        descriptor_.assign(socket, error);
        if (error) {
            fail(Error{ErrorKind::Unreachable, error.message()});
            return false;
        }
    }
    return true;
}

void PgConnection::pollConnect()
{
    const auto status = PQconnectPoll(connection_.get());
    if (status == PGRES_POLLING_FAILED) {
        const bool full = errorMessage().find(tooManyConnectionsSqlState) != std::string::npos
                          || errorMessage().find("too many") != std::string::npos;
        fail(Error{full ? ErrorKind::TooManyConnections : ErrorKind::Unreachable, errorMessage()});
        return;
    }
    if (status == PGRES_POLLING_OK) {
        PQsetnonblocking(connection_.get(), 1);
        timer_.cancel();
        phase_ = Phase::Idle;
        const auto connected = std::exchange(connectCallback_, {});
        waitReadable();
        connected(BOOST_OUTCOME_V2_NAMESPACE::success());
        return;
    }
    if (!watchSocket()) {
        return;
    }
    if (status == PGRES_POLLING_READING) {
        waitReadable();
    } else {
        waitWritable();
    }
}

void PgConnection::waitReadable()
{
    if (awaitingReadable_) {
        return;
    }
    awaitingReadable_ = true;
    descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               self->awaitingReadable_ = false;
                               if (self->phase_ == Phase::Closed) {
                                   return;
                               }
                               if (error) {
                                   self->fail(Error{ErrorKind::Unreachable, error.message()});
                               } else {
                                   self->handleReadable();
                               }
                           });
}

void PgConnection::waitWritable()
{
    if (awaitingWritable_) {
        return;
    }
    awaitingWritable_ = true;
    descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               self->awaitingWritable_ = false;
                               if (self->phase_ == Phase::Closed) {
                                   return;
                               }
                               if (error) {
                                   self->fail(Error{ErrorKind::Unreachable, error.message()});
                               } else if (self->phase_ == Phase::Connecting) {
                                   self->pollConnect();
                               } else {
                                   self->flush();
                               }
                           });
}

void PgConnection::handleReadable()
{
    if (readingPaused_) {
        return;
    }
    if (phase_ == Phase::Connecting) {
        pollConnect();
        return;
    }
    if (PQconsumeInput(connection_.get()) == 0) {
        // The data received before the connection failed may hold a complete answer.
        if (phase_ == Phase::Querying) {
            readResults();
        }
        if (phase_ != Phase::Closed) {
            fail(Error{ErrorKind::Unreachable, errorMessage()});
        }
        return;
    }
    if (phase_ == Phase::Querying) {
        readResults();
    } else {
        // Handles ParameterStatus and notices that arrive between queries.
        PQisBusy(connection_.get());
    }
    if (phase_ != Phase::Closed && !readingPaused_) {
        waitReadable();
    }
}

void PgConnection::flush()
{
    const int status = PQflush(connection_.get());
    if (status == 1) {
        waitWritable();
    } else if (status < 0) {
        boost::asio::post(context_, [self = shared_from_this()]() {
            self->fail(Error{ErrorKind::Unreachable, self->errorMessage()});
        });
    }
}

void PgConnection::armTimer(Duration timeout, const char *what)
{
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), what](const boost::system::error_code &error) {
        const bool waiting = self->phase_ == Phase::Connecting || self->phase_ == Phase::Querying;
        // The handler of a timer that expired just before its cancellation still reports success.
        if (!error && waiting && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->fail(Error{ErrorKind::DeadlineExceeded, what});
        }
    });
}

void PgConnection::fail(Error error)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const auto connected = std::exchange(connectCallback_, {});
    const auto answered = std::exchange(answerCallback_, {});
    const auto closed = std::exchange(closeCallback_, {});
    close();
    if (connected) {
        connected(BOOST_OUTCOME_V2_NAMESPACE::failure(error));
    }
    if (answered) {
        answered(BOOST_OUTCOME_V2_NAMESPACE::failure(error));
    }
    if (closed) {
        closed(error);
    }
}

void PgConnection::close()
{
    phase_ = Phase::Closed;
    connectCallback_ = {};
    answerCallback_ = {};
    closeCallback_ = {};
    partCallback_ = {};
    timer_.cancel();
    if (descriptor_.is_open()) {
        descriptor_.cancel();
        descriptor_.release();
    }
    connection_.reset();
}

std::optional<std::string> PgConnection::parameter(const char *name) const
{
    const char *value = connection_ ? PQparameterStatus(connection_.get(), name) : nullptr;
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

std::string PgConnection::errorMessage() const
{
    std::string text = connection_ ? PQerrorMessage(connection_.get()) : "out of memory";
    while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
        text.pop_back();
    }
    return text.empty() ? "the endpoint closed the connection" : text;
}

} // namespace hyssoprock
