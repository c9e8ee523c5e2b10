#include <hyssoprock/daemon/entry/answer_writer.hpp>

#include <vector>

#include <hyssoprock/sql/command_tag.hpp>

namespace hyssoprock {

pgwire::TransactionStatus toWire(TransactionState status) noexcept
{
    switch (status) {
    case TransactionState::Open:
        return pgwire::TransactionStatus::InTransaction;
    case TransactionState::Failed:
        return pgwire::TransactionStatus::Failed;
    case TransactionState::Idle:
        break;
    }
    return pgwire::TransactionStatus::Idle;
}

void AnswerWriter::writeColumns(const StatementResult &result)
{
    std::vector<pgwire::Column> columns;
    columns.reserve(result.columns.size());
    for (const auto &column : result.columns) {
        pgwire::Column described;
        described.name = column.name;
        described.typeOid = column.typeOid;
        columns.push_back(std::move(described));
    }
    encoder_.rowDescription(columns);
}

void AnswerWriter::writeDataRows(const StatementResult &result)
{
    for (const auto &row : result.rows) {
        encoder_.dataRow(std::span<const std::optional<std::string>>{row});
    }
}

void AnswerWriter::writeRows(const ForwardRows &part)
{
    const auto &result = part.result;
    if (!columnsWritten_ && !result.columns.empty()) {
        writeColumns(result);
        columnsWritten_ = true;
    }
    writeDataRows(result);
    if (!result.tag.empty()) {
        encoder_.commandComplete(result.tag);
        columnsWritten_ = false;
        ++completedStatementCount_;
    }
}

void AnswerWriter::writeAnswer(const AnswerCaller &answer)
{
    for (auto i = completedStatementCount_; i < answer.results.size(); ++i) {
        const auto &result = answer.results[i];
        if (!result.columns.empty() && !columnsWritten_) {
            writeColumns(result);
        }
        columnsWritten_ = false;
        writeDataRows(result);
        encoder_.commandComplete(sql::commandTag(result));
    }
    if (answer.error) {
        pgwire::Notice notice;
        notice.state = answer.error->state;
        notice.message = answer.error->message;
        encoder_.errorResponse(notice);
    } else if (answer.results.empty()) {
        encoder_.emptyQueryResponse();
    }
    encoder_.readyForQuery(toWire(answer.status));
    completedStatementCount_ = 0;
    columnsWritten_ = false;
}

void AnswerWriter::writeParameter(std::string_view name, std::string_view value)
{
    encoder_.parameterStatus(name, value);
}

void AnswerWriter::writeError(const Error &error, TransactionState status)
{
    encoder_.errorResponse(pgwire::toNotice(error));
    encoder_.readyForQuery(toWire(status));
}

} // namespace hyssoprock
