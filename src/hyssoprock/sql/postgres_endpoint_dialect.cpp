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
    auto &[sql, form] = query;
    form.ownTransaction = command.ownTransaction;
    form.oneTransaction = command.oneTransaction;
    if (command.schemaVersions) {
        sql += "SET hyssoprock.schema_versions = '" + *command.schemaVersions + "'; ";
        ++form.ownBefore;
    }
    const std::string_view text{command.statement.text};
    if (command.requestId.empty()) {
        sql += text;
        return query;
    }
    const auto record = "INSERT INTO hyssoprock_request (id) VALUES ('" + command.requestId + "')";
    if (command.ownTransaction) {
        // A line comment at the end of the statement must not hide the COMMIT.
        sql += "BEGIN; " + record + "; ";
        sql += withoutTrailingSemicolon(text);
        sql += "\n; COMMIT";
        form.ownBefore += 2;
        form.ownAfter = 1;
    } else if (opensTransaction(command.statement.kind)) {
        sql += withoutTrailingSemicolon(text);
        sql += "\n; " + record;
        form.ownAfter = 1;
    } else {
        sql += record + "; ";
        sql += text;
        ++form.ownBefore;
    }
    return query;
}

EndpointQuery encodeCommand(const LookUpRequestId &command)
{
    EndpointQuery query;
    query.text = "SELECT id FROM hyssoprock_request WHERE id = '" + command.requestId + "'";
    query.form.lookUp = true;
    return query;
}

bool removeOwnResults(const AnswerForm &form, std::vector<StatementResult> &results)
{
    const std::size_t own = form.ownBefore + form.ownAfter;
    if (own > 0 && results.size() <= own) {
        return false;
    }
    results.erase(results.end() - static_cast<std::ptrdiff_t>(form.ownAfter), results.end());
    results.erase(results.begin(), results.begin() + static_cast<std::ptrdiff_t>(form.ownBefore));
    return true;
}

AnswerKind kindOfError(const AnswerForm &form, const EndpointAnswer &answer)
{
    const bool refused = answer.error->state == readOnlyState
                         && answer.report.role != EndpointRole::Primary && form.oneTransaction;
    return refused ? AnswerKind::ReadOnly : AnswerKind::Failed;
}

} // namespace

EndpointQuery PostgresEndpointDialect::encode(const RequestCommand &command) const
{
    return std::visit([](const auto &concrete) { return encodeCommand(concrete); }, command);
}

EndpointAnswer PostgresEndpointDialect::interpret(const AnswerForm &form,
                                                  EndpointAnswer answer) const
{
    if (answer.error) {
        answer.kind = kindOfError(form, answer);
        return answer;
    }
    if (form.lookUp) {
        if (answer.results.size() == 1) {
            answer.requestIdFound = !answer.results.front().rows.empty();
        }
        return answer;
    }
    const bool stillOpen = form.ownTransaction && answer.status != TransactionState::Idle;
    if (stillOpen || !removeOwnResults(form, answer.results)) {
        answer.kind = AnswerKind::Unknown;
        return answer;
    }
    for (auto &result : answer.results) {
        result.kind = resultKind(result.tag);
    }
    return answer;
}

AnswerPart PostgresEndpointDialect::interpretPart(const AnswerForm &form, AnswerPart part) const
{
    part.own = form.lookUp || part.statement < form.ownBefore;
    if (!part.own) {
        part.statement -= form.ownBefore;
    }
    return part;
}

} // namespace hyssoprock::sql
