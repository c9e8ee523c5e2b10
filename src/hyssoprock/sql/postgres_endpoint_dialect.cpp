#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include <cstddef>
#include <iterator>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/sql/command_tag.hpp>

namespace hyssoprock::sql {

namespace {

/// SQLSTATE read_only_sql_transaction: the endpoint accepts no writes.
constexpr std::string_view readOnlySqlState = "25006";

std::string_view withoutTrailingSemicolon(std::string_view sql)
{
    const auto last = sql.find_last_not_of(" \t\r\n;");
    return last == std::string_view::npos ? std::string_view{} : sql.substr(0, last + 1);
}

EndpointQuery encodeCommand(const ForwardStatement &command)
{
    EndpointQuery query;
    auto &[sql, expected] = query;
    expected.wrapInTransaction = command.wrapInTransaction;
    expected.atomic = command.atomic;
    if (command.schemaVersions) {
        sql += "SET hyssoprock.schema_versions = '" + *command.schemaVersions + "'; ";
        ++expected.proxyResultsBefore;
    }
    const std::string_view text{command.statement.text};
    if (command.requestId.empty()) {
        sql += text;
        return query;
    }
    const auto insertRequestId =
        "INSERT INTO hyssoprock_request (id) VALUES ('" + command.requestId + "')";
    if (command.wrapInTransaction) {
        // The line break ends a trailing line comment, which would otherwise hide the COMMIT.
        sql += "BEGIN; " + insertRequestId + "; ";
        sql += withoutTrailingSemicolon(text);
        sql += "\n; COMMIT";
        expected.proxyResultsBefore += 2;
        expected.proxyResultsAfter = 1;
    } else if (opensTransaction(command.statement.kind)) {
        sql += withoutTrailingSemicolon(text);
        sql += "\n; " + insertRequestId;
        expected.proxyResultsAfter = 1;
    } else {
        sql += insertRequestId + "; ";
        sql += text;
        ++expected.proxyResultsBefore;
    }
    return query;
}

EndpointQuery encodeCommand(const LookUpRequestId &command)
{
    EndpointQuery query;
    query.text = "SELECT id FROM hyssoprock_request WHERE id = '" + command.requestId + "'";
    query.expected.lookUp = true;
    return query;
}

bool removeProxyResults(const ExpectedAnswer &expected, std::vector<StatementResult> &results)
{
    const std::size_t proxyResultCount = expected.proxyResultsBefore + expected.proxyResultsAfter;
    if (proxyResultCount > 0 && results.size() <= proxyResultCount) {
        return false;
    }
    results.erase(results.end() - static_cast<std::ptrdiff_t>(expected.proxyResultsAfter),
                  results.end());
    results.erase(results.begin(),
                  results.begin() + static_cast<std::ptrdiff_t>(expected.proxyResultsBefore));
    return true;
}

AnswerKind classifyError(const ExpectedAnswer &expected, const EndpointAnswer &answer)
{
    const bool rejected = answer.error->state == readOnlySqlState
                          && answer.report.role != EndpointRole::Primary && expected.atomic;
    return rejected ? AnswerKind::ReadOnly : AnswerKind::Failed;
}

} // namespace

EndpointQuery PostgresEndpointDialect::encode(const RequestCommand &command) const
{
    return std::visit([](const auto &concrete) { return encodeCommand(concrete); }, command);
}

EndpointAnswer PostgresEndpointDialect::interpret(const ExpectedAnswer &expected,
                                                  EndpointAnswer answer) const
{
    if (answer.error) {
        answer.kind = classifyError(expected, answer);
        return answer;
    }
    if (expected.lookUp) {
        if (answer.results.size() == 1) {
            answer.requestIdFound = !answer.results.front().rows.empty();
        }
        return answer;
    }
    const bool transactionOpen =
        expected.wrapInTransaction && answer.status != TransactionState::Idle;
    if (transactionOpen || !removeProxyResults(expected, answer.results)) {
        answer.kind = AnswerKind::Unknown;
        return answer;
    }
    for (auto &result : answer.results) {
        result.kind = resultKind(result.tag);
    }
    return answer;
}

AnswerPart PostgresEndpointDialect::interpretPart(const ExpectedAnswer &expected,
                                                  AnswerPart part) const
{
    part.fromProxy = expected.lookUp || part.statementIndex < expected.proxyResultsBefore;
    if (!part.fromProxy) {
        part.statementIndex -= expected.proxyResultsBefore;
    }
    return part;
}

} // namespace hyssoprock::sql
