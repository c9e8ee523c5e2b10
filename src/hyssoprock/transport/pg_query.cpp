// Queries of PgConnection: sends a query, reads its results and streams its rows.

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

void PgConnection::query(const std::string &sql, Duration timeout, AnswerCallback answered)
{
    check(phase_ == Phase::Idle, "an endpoint connection carries one request at a time");
    phase_ = Phase::Querying;
    answerCallback_ = std::move(answered);
    answer_ = PgAnswer{};
    armTimer(timeout, "no complete answer of the endpoint in time");
    statementIncomplete_ = false;
    readingPaused_ = false;
    bufferedBytes_ = 0;
    emittedCount_ = 0;
    if (PQsendQuery(connection_.get(), sql.c_str()) == 0) {
        boost::asio::post(context_, [self = shared_from_this()]() {
            self->fail(Error{ErrorKind::Unreachable, self->errorMessage()});
        });
        return;
    }
    if (partCallback_) {
        PQsetSingleRowMode(connection_.get());
    }
    flush();
}

void PgConnection::enableStreaming(std::size_t bytes, PartCallback part)
{
    streamThresholdBytes_ = bytes;
    partCallback_ = std::move(part);
}

void PgConnection::resumeReading()
{
    if (!readingPaused_ || phase_ != Phase::Querying) {
        return;
    }
    readingPaused_ = false;
    // Rows already buffered by libpq do not make the socket readable again.
    boost::asio::post(context_, [self = shared_from_this()]() {
        if (self->phase_ == Phase::Querying && !self->readingPaused_) {
            self->handleReadable();
        }
    });
}

void PgConnection::readResults()
{
    while (phase_ == Phase::Querying && !readingPaused_ && PQisBusy(connection_.get()) == 0) {
        const OwnedResult result{PQgetResult(connection_.get())};
        if (!result) {
            completeQuery();
            return;
        }
        if (auto handled = handleResult(*result); handled.has_error()) {
            fail(handled.error());
        }
    }
}

Result<void> PgConnection::handleResult(const PGresult &result)
{
    PgStatementResult statement;
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
        statementIncomplete_ = false;
        answer_.statements.back().commandTag = PQcmdStatus(const_cast<PGresult *>(&result));
        break;
    case PGRES_FATAL_ERROR:
        if (PQstatus(connection_.get()) == CONNECTION_BAD) {
            return failure(ErrorKind::Unreachable, errorMessage());
        }
        if (statementIncomplete_) {
            // The rows of a statement that failed are not part of the answer.
            statementIncomplete_ = false;
            answer_.statements.pop_back();
        }
        statement.error = internal::parseError(result);
        break;
    default:
        return failure(ErrorKind::NotSupported, "the endpoint began a copy");
    }
    if (statement.emptyQuery || statement.error || !statement.commandTag.empty()) {
        answer_.statements.push_back(std::move(statement));
    }
    if (partCallback_ && bufferedBytes_ > streamThresholdBytes_) {
        emitPart();
    } else if (!partCallback_ && answer_.bytes > answerBytesMax_) {
        return failure(ErrorKind::MessageTooLarge, "the answer is over the size limit");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PgConnection::addRow(const PGresult &result)
{
    if (!statementIncomplete_) {
        statementIncomplete_ = true;
        PgStatementResult statement;
        statement.hasRows = true;
        statement.columns = internal::parseColumns(result);
        answer_.statements.push_back(std::move(statement));
    }
    std::size_t bytes = 0;
    auto rows = internal::parseRows(result, bytes);
    auto &target = answer_.statements.back().rows;
    std::move(rows.begin(), rows.end(), std::back_inserter(target));
    answer_.bytes += bytes;
    bufferedBytes_ += bytes;
}

void PgConnection::emitPart()
{
    readingPaused_ = true;
    bufferedBytes_ = 0;
    const auto part = partCallback_;
    const auto self = shared_from_this();
    for (auto i = emittedCount_; i < answer_.statements.size(); ++i) {
        auto moved = std::exchange(answer_.statements[i].rows, {});
        PgStatementResult rows = answer_.statements[i];
        rows.rows = std::move(moved);
        const bool complete = i + 1 < answer_.statements.size() || !statementIncomplete_;
        emittedCount_ = complete ? i + 1 : i;
        part(i, std::move(rows));
        if (phase_ != Phase::Querying) {
            return;
        }
    }
}

void PgConnection::completeQuery()
{
    timer_.cancel();
    const auto status = PQtransactionStatus(connection_.get());
    if (status == PQTRANS_UNKNOWN || status == PQTRANS_ACTIVE) {
        fail(Error{ErrorKind::Unreachable, errorMessage()});
        return;
    }
    answer_.transactionStatus = statusLetter(status);
    partCallback_ = {};
    phase_ = Phase::Idle;
    const auto answered = std::exchange(answerCallback_, {});
    answered(std::exchange(answer_, {}));
}

} // namespace hyssoprock
