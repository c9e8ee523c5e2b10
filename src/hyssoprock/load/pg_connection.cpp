#include <hyssoprock/load/pg_connection.hpp>

#include <utility>

#include <boost/asio/post.hpp>
#include <libpq-fe.h>

namespace hyssoprock::load {

namespace {

using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;
using Wait = boost::asio::posix::descriptor_base;

std::string textOf(const char *text)
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
    connected_ = nullptr;
    answered_ = nullptr;
    if (descriptor_.is_open()) {
        descriptor_.release(); // libpq closes the socket.
    }
    if (connection_ != nullptr) {
        PQfinish(std::exchange(connection_, nullptr));
    }
}

bool PgConnection::attach()
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

void PgConnection::armTimeout()
{
    timer_.expires_after(timeout_);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!self || error) {
            return;
        }
        if (self->connected_) {
            self->finishConnect("timeout");
        } else if (self->answered_) {
            self->answer_.message = "timeout";
            self->finishQuery(true);
        }
    });
}

void PgConnection::connect(const std::string &info, std::function<void(std::string)> done)
{
    connected_ = std::move(done);
    armTimeout();
    connection_ = PQconnectStart(info.c_str());
    if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD
        || PQsetnonblocking(connection_, 1) != 0 || !attach()) {
        boost::asio::post(descriptor_.get_executor(), [self = shared_from_this()] {
            self->finishConnect("cannot start to connect");
        });
        return;
    }
    descriptor_.async_wait(Wait::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error && self->connected_) {
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
    if (status == PGRES_POLLING_FAILED || !attach()) {
        finishConnect(textOf(PQerrorMessage(connection_)));
        return;
    }
    descriptor_.async_wait(status == PGRES_POLLING_READING ? Wait::wait_read : Wait::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error && self->connected_) {
                                   self->pollConnect();
                               }
                           });
}

void PgConnection::finishConnect(std::string error)
{
    timer_.cancel();
    if (const auto done = std::exchange(connected_, nullptr)) {
        done(std::move(error));
    }
}

void PgConnection::query(const std::string &text, std::function<void(Answer)> done)
{
    answered_ = std::move(done);
    answer_ = {};
    armTimeout();
    if (connection_ == nullptr || PQsendQuery(connection_, text.c_str()) != 1) {
        boost::asio::post(descriptor_.get_executor(),
                          [self = shared_from_this()] { self->finishQuery(true); });
        return;
    }
    flush();
}

void PgConnection::flush()
{
    const auto left = PQflush(connection_);
    if (left < 0) {
        boost::asio::post(descriptor_.get_executor(),
                          [self = shared_from_this()] { self->finishQuery(true); });
    } else if (left > 0) {
        descriptor_.async_wait(Wait::wait_write,
                               [self = shared_from_this()](const boost::system::error_code &error) {
                                   if (!error && self->answered_) {
                                       self->flush();
                                   }
                               });
    } else {
        readMore();
    }
}

void PgConnection::readMore()
{
    descriptor_.async_wait(Wait::wait_read,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (error || !self->answered_) {
                                   return;
                               }
                               if (PQconsumeInput(self->connection_) != 1) {
                                   self->finishQuery(true);
                                   return;
                               }
                               self->collect();
                           });
}

void PgConnection::collect()
{
    while (PQisBusy(connection_) == 0) {
        const ResultPointer result{PQgetResult(connection_), &PQclear};
        if (!result) {
            finishQuery(PQstatus(connection_) == CONNECTION_BAD);
            return;
        }
        const auto status = PQresultStatus(result.get());
        if (status == PGRES_FATAL_ERROR && answer_.state.empty()) {
            answer_.state = textOf(PQresultErrorField(result.get(), PG_DIAG_SQLSTATE));
            answer_.message = textOf(PQresultErrorField(result.get(), PG_DIAG_MESSAGE_PRIMARY));
        } else if (status == PGRES_TUPLES_OK) {
            answer_.rows.clear();
            for (int row = 0; row < PQntuples(result.get()); ++row) {
                auto &values = answer_.rows.emplace_back();
                for (int column = 0; column < PQnfields(result.get()); ++column) {
                    values.push_back(
                        PQgetisnull(result.get(), row, column) != 0
                            ? std::nullopt
                            : std::optional<std::string>{PQgetvalue(result.get(), row, column)});
                }
            }
        }
    }
    readMore();
}

void PgConnection::finishQuery(bool broken)
{
    timer_.cancel();
    answer_.broken = broken;
    if (broken && answer_.message.empty()) {
        answer_.message = "the connection broke";
    }
    if (const auto done = std::exchange(answered_, nullptr)) {
        done(std::exchange(answer_, {}));
    }
}

std::string PgConnection::parameter(const char *name) const
{
    return connection_ == nullptr ? std::string{} : textOf(PQparameterStatus(connection_, name));
}

} // namespace hyssoprock::load
