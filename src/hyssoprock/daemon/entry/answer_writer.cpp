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

void AnswerWriter::describe(const StatementResult &result)
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

void AnswerWriter::rows(const StatementResult &result)
{
    for (const auto &row : result.rows) {
        encoder_.dataRow(std::span<const std::optional<std::string>>{row});
    }
}

void AnswerWriter::part(const ForwardRows &part)
{
    const auto &result = part.result;
    if (!described_ && !result.columns.empty()) {
        describe(result);
        described_ = true;
    }
    rows(result);
    if (!result.tag.empty()) {
        encoder_.commandComplete(result.tag);
        described_ = false;
        ++completed_;
    }
}

void AnswerWriter::finish(const AnswerCaller &answer)
{
    for (auto i = completed_; i < answer.results.size(); ++i) {
        const auto &result = answer.results[i];
        if (!result.columns.empty() && !described_) {
            describe(result);
        }
        described_ = false;
        rows(result);
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
    completed_ = 0;
    described_ = false;
}

void AnswerWriter::parameter(std::string_view name, std::string_view value)
{
    encoder_.parameterStatus(name, value);
}

void AnswerWriter::refuse(const Error &error, TransactionState status)
{
    encoder_.errorResponse(pgwire::toNotice(error));
    encoder_.readyForQuery(toWire(status));
}

} // namespace hyssoprock
