#include "transcript.hpp"

#include <iomanip>
#include <sstream>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/sql/command_tag.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

namespace hyssoprock::golden {

namespace {

constexpr int microsecondsPerMillisecond = 1000;
constexpr int timeColumnWidth = 12;

std::string numberOf(auto id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

std::string_view textOf(EndpointRole role)
{
    switch (role) {
    case EndpointRole::Primary:
        return "primary";
    case EndpointRole::Replica:
        return "replica";
    case EndpointRole::Fenced:
        return "fenced";
    case EndpointRole::Unknown:
        break;
    }
    return "unknown role";
}

std::string_view textOf(ConnectionPurpose purpose)
{
    switch (purpose) {
    case ConnectionPurpose::Read:
        return "read";
    case ConnectionPurpose::Write:
        return "write";
    case ConnectionPurpose::Settle:
        return "look-up";
    }
    return "invalid";
}

std::string textOf(const StatementResult &result)
{
    std::string text{sql::commandTag(result)};
    if (result.columns.empty()) {
        return text;
    }
    text += " (";
    for (std::size_t i = 0; i < result.columns.size(); ++i) {
        text += (i == 0 ? "" : ", ") + result.columns[i].name;
    }
    text += ")";
    for (const auto &row : result.rows) {
        text += " [";
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += (i == 0 ? "" : ", ") + row[i].value_or("NULL");
        }
        text += "]";
    }
    return text;
}

/// Formats actions; one overload for each type.
struct ActionText
{
    const TokenCodec &tokens;

    std::string operator()(const AcquireConnection &action) const
    {
        return "acquire " + numberOf(action.acquire) + ": connection to " + action.endpoint
               + " for a " + std::string{textOf(action.purpose)} + ", until "
               + golden::textOf(action.deadline) + " ms" + (action.retry ? ", retry" : "");
    }
    std::string operator()(const CancelAcquire &action) const
    {
        return "cancel acquire " + numberOf(action.acquire);
    }
    std::string operator()(const SendCommand &action) const
    {
        auto sql = sql::PostgresEndpointDialect{}.encode(action.command).text;
        for (auto &letter : sql) {
            letter = letter == '\n' ? ' ' : letter;
        }
        return "send on connection " + numberOf(action.connection) + ": " + sql;
    }
    std::string operator()(const ReleaseConnection &action) const
    {
        return "release connection " + numberOf(action.connection)
               + (action.reusable ? ", reusable, schema versions '" + action.schemaVersions + "'"
                                  : ", to be closed");
    }
    std::string operator()(const AnswerCaller &action) const
    {
        return "ANSWER " + golden::textOf(action.results, action.error) + "; "
               + std::string{golden::textOf(action.status)};
    }
    std::string operator()(const ForwardRows &action) const
    {
        return "forward rows of statement " + std::to_string(action.statementIndex) + ": "
               + textOf(action.result);
    }
    std::string operator()(const ContinueReading &action) const
    {
        return "continue reading on connection " + numberOf(action.connection);
    }
    std::string operator()(const ReportToken &action) const
    {
        const auto floor = tokens.decode(action.token);
        return "token: " + (floor.has_value() ? golden::textOf(floor.value()) : "INVALID");
    }
    std::string operator()(const LogLine &action) const { return "log: " + action.text; }
    std::string operator()(const CloseCaller &action) const
    {
        return "close the caller's connection"
               + (action.kind == ErrorKind::None ? std::string{}
                                                 : ": " + std::string{describe(action.kind).text});
    }
};

} // namespace

std::string textOf(Instant time)
{
    const auto micros = time.time_since_epoch().count();
    auto text = std::to_string(micros / microsecondsPerMillisecond);
    if (const auto fraction = micros % microsecondsPerMillisecond; fraction != 0) {
        const auto digits = std::to_string(microsecondsPerMillisecond + fraction);
        text += "." + digits.substr(1);
    }
    return text;
}

std::string textOf(const LogPosition &position)
{
    return std::to_string(position.term) + "/" + std::to_string(position.index);
}

std::string textOf(const EndpointReport &report)
{
    return std::string{textOf(report.role)} + " at " + textOf(report.position) + ", majority "
           + std::to_string(report.majorityIndex);
}

std::string textOf(const SessionFloor &floor)
{
    std::string text;
    for (const auto &[group, entry] : floor.entries()) {
        text += (text.empty() ? "" : ", ") + group + " " + textOf(entry.position)
                + (entry.established ? "" : " (not known to be complete)");
    }
    return text.empty() ? "empty" : text;
}

std::string textOf(const std::vector<StatementResult> &results,
                   const std::optional<SqlError> &error)
{
    std::string text;
    for (const auto &result : results) {
        text += (text.empty() ? "" : "; ") + textOf(result);
    }
    if (error) {
        text += (text.empty() ? "" : "; ") + std::string{"ERROR "} + error->state + " "
                + error->message;
    }
    return text.empty() ? "no result" : text;
}

std::string_view textOf(TransactionState status)
{
    switch (status) {
    case TransactionState::Idle:
        return "idle";
    case TransactionState::Open:
        return "in transaction";
    case TransactionState::Failed:
        return "in failed transaction";
    }
    return "invalid";
}

std::string textOf(const SessionAction &action, const TokenCodec &tokens)
{
    return std::visit(ActionText{tokens}, action);
}

Transcript::Transcript(std::string_view title)
    : text_{"# " + std::string{title} + "\n# Time in ms, host or session, event; what follows "
            + "from it is indented.\n\n"}
{}

void Transcript::event(Instant time, std::string_view who, std::string_view text)
{
    std::ostringstream line;
    line << std::setw(timeColumnWidth) << textOf(time) << "  " << who << "  " << text << "\n";
    text_ += line.str();
}

void Transcript::action(std::string_view text)
{
    text_ += std::string(timeColumnWidth + 4, ' ') + "> " + std::string{text} + "\n";
}

} // namespace hyssoprock::golden
