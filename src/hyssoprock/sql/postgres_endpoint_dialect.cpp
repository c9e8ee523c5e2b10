#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include <cstddef>
#include <iterator>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/sql/command_tag.hpp>

namespace hyssoprock::sql {

namespace {

/// SQLSTATE of a statement that changes data on an endpoint that accepts no writes.
constexpr std::string_view readOnlyState = "25006";

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
    const auto record = "INSERT INTO hyssoprock_request (id) VALUES ('" + command.requestId + "')";
    if (command.wrapInTransaction) {
        // A line comment at the end of the statement must not hide the COMMIT.
        sql += "BEGIN; " + record + "; ";
        sql += withoutTrailingSemicolon(text);
        sql += "\n; COMMIT";
        expected.proxyResultsBefore += 2;
        expected.proxyResultsAfter = 1;
    } else if (opensTransaction(command.statement.kind)) {
        sql += withoutTrailingSemicolon(text);
        sql += "\n; " + record;
        expected.proxyResultsAfter = 1;
    } else {
        sql += record + "; ";
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

bool removeOwnResults(const ExpectedAnswer &expected, std::vector<StatementResult> &results)
{
    const std::size_t own = expected.proxyResultsBefore + expected.proxyResultsAfter;
    if (own > 0 && results.size() <= own) {
        return false;
    }
    results.erase(results.end() - static_cast<std::ptrdiff_t>(expected.proxyResultsAfter),
                  results.end());
    results.erase(results.begin(),
                  results.begin() + static_cast<std::ptrdiff_t>(expected.proxyResultsBefore));
    return true;
}

AnswerKind kindOfError(const ExpectedAnswer &expected, const EndpointAnswer &answer)
{
    const bool refused = answer.error->state == readOnlyState
                         && answer.report.role != EndpointRole::Primary && expected.atomic;
    return refused ? AnswerKind::ReadOnly : AnswerKind::Failed;
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
        answer.kind = kindOfError(expected, answer);
        return answer;
    }
    if (expected.lookUp) {
        if (answer.results.size() == 1) {
            answer.requestIdFound = !answer.results.front().rows.empty();
        }
        return answer;
    }
    const bool stillOpen = expected.wrapInTransaction && answer.status != TransactionState::Idle;
    if (stillOpen || !removeOwnResults(expected, answer.results)) {
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
