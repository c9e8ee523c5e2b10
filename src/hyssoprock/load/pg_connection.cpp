#include <hyssoprock/load/pg_connection.hpp>

#include <utility>

#include <boost/asio/post.hpp>
#include <libpq-fe.h>

namespace hyssoprock::load {

namespace {

using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;
using SocketWait = boost::asio::posix::descriptor_base;

std::string stringOrEmpty(const char *text)
{
    return text == nullptr ? std::string{} : std::string{text};
}

} // namespace

PgConnection::PgConnection(boost::asio::io_context &context, Duration timeout)
    : descriptor_{context}
    , timer_{context}
    , timeout_{timeout}
{}

PgConnection::~PgConnection()
{
    close();
}

void PgConnection::close()
{
    timer_.cancel();
    connectCallback_ = nullptr;
    queryCallback_ = nullptr;
    if (descriptor_.is_open()) {
        descriptor_.release(); // libpq closes the socket.
    }
    if (connection_ != nullptr) {
        PQfinish(std::exchange(connection_, nullptr));
    }
}

bool PgConnection::watchSocket()
{
    const int socket = PQsocket(connection_);
    if (descriptor_.is_open() && descriptor_.native_handle() == socket) {
        return true;
    }
    if (descriptor_.is_open()) {
        descriptor_.release();
    }
    boost::system::error_code error;
    descriptor_.assign(socket, error);
    return !error;
}

void PgConnection::startTimeout()
{
    timer_.expires_after(timeout_);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!self || error) {
            return;
        }
        if (self->connectCallback_) {
            self->finishConnect("timeout");
        } else if (self->queryCallback_) {
            self->result_.message = "timeout";
            self->finishQuery(true);
        }
    });
}

void PgConnection::connect(const std::string &conninfo, std::function<void(std::string)> done)
{
    connectCallback_ = std::move(done);
    startTimeout();
    connection_ = PQconnectStart(conninfo.c_str());
    if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD
        || PQsetnonblocking(connection_, 1) != 0 || !watchSocket()) {
        boost::asio::post(descriptor_.get_executor(), [self = shared_from_this()] {
            self->finishConnect("cannot start to connect");
        });
        return;
    }
    descriptor_.async_wait(SocketWait::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error && self->connectCallback_) {
                                   self->pollConnect();
                               }
                           });
}

void PgConnection::pollConnect()
{
    const auto status = PQconnectPoll(connection_);
    if (status == PGRES_POLLING_OK) {
        finishConnect({});
        return;
    }
    if (status == PGRES_POLLING_FAILED || !watchSocket()) {
        finishConnect(stringOrEmpty(PQerrorMessage(connection_)));
        return;
    }
    descriptor_.async_wait(status == PGRES_POLLING_READING ? SocketWait::wait_read
                                                           : SocketWait::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error && self->connectCallback_) {
                                   self->pollConnect();
                               }
                           });
}

void PgConnection::finishConnect(std::string error)
{
    timer_.cancel();
    if (const auto done = std::exchange(connectCallback_, nullptr)) {
        done(std::move(error));
    }
}

void PgConnection::query(const std::string &text, std::function<void(QueryResult)> done)
{
    queryCallback_ = std::move(done);
    result_ = {};
    startTimeout();
    if (connection_ == nullptr || PQsendQuery(connection_, text.c_str()) != 1) {
        boost::asio::post(descriptor_.get_executor(),
                          [self = shared_from_this()] { self->finishQuery(true); });
        return;
    }
    flush();
}

void PgConnection::flush()
{
    const auto flushStatus = PQflush(connection_);
    if (flushStatus < 0) {
        boost::asio::post(descriptor_.get_executor(),
                          [self = shared_from_this()] { self->finishQuery(true); });
    } else if (flushStatus > 0) {
        descriptor_.async_wait(SocketWait::wait_write,
                               [self = shared_from_this()](const boost::system::error_code &error) {
                                   if (!error && self->queryCallback_) {
                                       self->flush();
                                   }
                               });
    } else {
        waitForInput();
    }
}

void PgConnection::waitForInput()
{
    descriptor_.async_wait(SocketWait::wait_read,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (error || !self->queryCallback_) {
                                   return;
                               }
                               if (PQconsumeInput(self->connection_) != 1) {
                                   self->finishQuery(true);
                                   return;
                               }
                               self->collectResults();
                           });
}

void PgConnection::collectResults()
{
    while (PQisBusy(connection_) == 0) {
        const ResultPointer result{PQgetResult(connection_), &PQclear};
        if (!result) {
            finishQuery(PQstatus(connection_) == CONNECTION_BAD);
            return;
        }
        const auto status = PQresultStatus(result.get());
        if (status == PGRES_FATAL_ERROR && result_.sqlState.empty()) {
            result_.sqlState = stringOrEmpty(PQresultErrorField(result.get(), PG_DIAG_SQLSTATE));
            result_.message =
                stringOrEmpty(PQresultErrorField(result.get(), PG_DIAG_MESSAGE_PRIMARY));
        } else if (status == PGRES_TUPLES_OK) {
            result_.rows.clear();
            for (int row = 0; row < PQntuples(result.get()); ++row) {
                auto &values = result_.rows.emplace_back();
                for (int column = 0; column < PQnfields(result.get()); ++column) {
                    values.push_back(
                        PQgetisnull(result.get(), row, column) != 0
                            ? std::nullopt
                            : std::optional<std::string>{PQgetvalue(result.get(), row, column)});
                }
            }
        }
    }
    waitForInput();
}

void PgConnection::finishQuery(bool connectionLost)
{
    timer_.cancel();
    result_.connectionLost = connectionLost;
    if (connectionLost && result_.message.empty()) {
        result_.message = "the connection broke";
    }
    if (const auto done = std::exchange(queryCallback_, nullptr)) {
        done(std::exchange(result_, {}));
    }
}

std::string PgConnection::parameter(const char *name) const
{
    return connection_ == nullptr ? std::string{}
                                  : stringOrEmpty(PQparameterStatus(connection_, name));
}

} // namespace hyssoprock::load
