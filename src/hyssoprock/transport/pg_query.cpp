// The queries of a PgConnection: sending one, collecting its answer, and passing on its rows.

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>
#include <libpq-fe.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/transport/pg_connection.hpp>
#include <hyssoprock/transport/pg_result_reader.hpp>

namespace hyssoprock {

namespace {

struct ResultDeleter
{
    void operator()(PGresult *result) const noexcept { PQclear(result); }
};
using OwnedResult = std::unique_ptr<PGresult, ResultDeleter>;

char statusLetter(PGTransactionStatusType status)
{
    if (status == PQTRANS_IDLE) {
        return 'I';
    }
    return status == PQTRANS_INERROR ? 'E' : 'T';
}

} // namespace

void PgConnection::query(const std::string &sql, Duration timeout, Answered answered)
{
    check(phase_ == Phase::Idle, "an endpoint connection carries one request at a time");
    phase_ = Phase::Querying;
    answered_ = std::move(answered);
    answer_ = PgAnswer{};
    armTimer(timeout, "no complete answer of the endpoint in time");
    statementOpen_ = false;
    paused_ = false;
    bufferedBytes_ = 0;
    passedOn_ = 0;
    if (PQsendQuery(connection_.get(), sql.c_str()) == 0) {
        boost::asio::post(context_, [self = shared_from_this()]() {
            self->fail(Error{ErrorKind::Unreachable, self->message()});
        });
        return;
    }
    if (part_) {
        PQsetSingleRowMode(connection_.get());
    }
    flush();
}

void PgConnection::streamAbove(std::size_t bytes, Part part)
{
    streamBytes_ = bytes;
    part_ = std::move(part);
}

void PgConnection::continueReading()
{
    if (!paused_ || phase_ != Phase::Querying) {
        return;
    }
    paused_ = false;
    // Rows that libpq holds already do not make the socket readable again.
    boost::asio::post(context_, [self = shared_from_this()]() {
        if (self->phase_ == Phase::Querying && !self->paused_) {
            self->readable();
        }
    });
}

void PgConnection::collect()
{
    while (phase_ == Phase::Querying && !paused_ && PQisBusy(connection_.get()) == 0) {
        const OwnedResult result{PQgetResult(connection_.get())};
        if (!result) {
            finishQuery();
            return;
        }
        if (auto taken = take(*result); taken.has_error()) {
            fail(taken.error());
        }
    }
}

Result<void> PgConnection::take(const PGresult &result)
{
    PgStatement statement;
    switch (PQresultStatus(&result)) {
    case PGRES_EMPTY_QUERY:
        statement.emptyQuery = true;
        break;
    case PGRES_COMMAND_OK:
        statement.commandTag = PQcmdStatus(const_cast<PGresult *>(&result));
        break;
    case PGRES_SINGLE_TUPLE:
        addRow(result);
        break;
    case PGRES_TUPLES_OK:
        addRow(result);
        statementOpen_ = false;
        answer_.statements.back().commandTag = PQcmdStatus(const_cast<PGresult *>(&result));
        break;
    case PGRES_FATAL_ERROR:
        if (PQstatus(connection_.get()) == CONNECTION_BAD) {
            return failure(ErrorKind::Unreachable, message());
        }
        if (statementOpen_) {
            // Rows of a statement that failed before its end are not part of an answer.
            statementOpen_ = false;
            answer_.statements.pop_back();
        }
        statement.error = internal::errorOf(result);
        break;
    default:
        return failure(ErrorKind::NotSupported, "the endpoint began a copy");
    }
    if (statement.emptyQuery || statement.error || !statement.commandTag.empty()) {
        answer_.statements.push_back(std::move(statement));
    }
    if (part_ && bufferedBytes_ > streamBytes_) {
        passOn();
    } else if (!part_ && answer_.bytes > answerBytesMax_) {
        return failure(ErrorKind::MessageTooLarge, "the answer is over the size limit");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PgConnection::addRow(const PGresult &result)
{
    if (!statementOpen_) {
        statementOpen_ = true;
        PgStatement statement;
        statement.hasRows = true;
        statement.columns = internal::columnsOf(result);
        answer_.statements.push_back(std::move(statement));
    }
    std::size_t bytes = 0;
    auto rows = internal::rowsOf(result, bytes);
    auto &target = answer_.statements.back().rows;
    std::move(rows.begin(), rows.end(), std::back_inserter(target));
    answer_.bytes += bytes;
    bufferedBytes_ += bytes;
}

void PgConnection::passOn()
{
    paused_ = true;
    bufferedBytes_ = 0;
    const auto part = part_;
    const auto self = shared_from_this();
    for (auto i = passedOn_; i < answer_.statements.size(); ++i) {
        auto moved = std::exchange(answer_.statements[i].rows, {});
        PgStatement rows = answer_.statements[i];
        rows.rows = std::move(moved);
        const bool complete = i + 1 < answer_.statements.size() || !statementOpen_;
        passedOn_ = complete ? i + 1 : i;
        part(i, std::move(rows));
        if (phase_ != Phase::Querying) {
            return;
        }
    }
}

void PgConnection::finishQuery()
{
    timer_.cancel();
    const auto status = PQtransactionStatus(connection_.get());
    if (status == PQTRANS_UNKNOWN || status == PQTRANS_ACTIVE) {
        fail(Error{ErrorKind::Unreachable, message()});
        return;
    }
    answer_.transactionStatus = statusLetter(status);
    part_ = {};
    phase_ = Phase::Idle;
    const auto answered = std::exchange(answered_, {});
    answered(std::exchange(answer_, {}));
}

} // namespace hyssoprock
