#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

using namespace hyssoprock;

namespace {

const sql::PostgresEndpointDialect dialect{};

ForwardStatement forward(StatementKind kind, const std::string &text)
{
    ForwardStatement command;
    command.statement.kind = kind;
    command.statement.text = text;
    return command;
}

EndpointAnswer answerWith(const std::vector<std::string> &tags)
{
    EndpointAnswer answer;
    for (const auto &tag : tags) {
        StatementResult result;
        result.tag = tag;
        answer.results.push_back(std::move(result));
    }
    return answer;
}

AnswerKind kindOfRejection(bool atomic, EndpointRole role, const std::string &state)
{
    auto command = forward(StatementKind::Write, "INSERT INTO t VALUES (1)");
    command.atomic = atomic;
    EndpointAnswer answer;
    answer.error = SqlError{state, "refused"};
    answer.report.role = role;
    return dialect.interpret(dialect.encode(command).expected, answer).kind;
}

} // namespace

// Guards against delivering results of the proxy's own statements or removing results of the
// caller.
Test(postgres_endpoint_dialect, ownResultsAreRemovedOnBothSides)
{
    auto command = forward(StatementKind::Write, "DELETE FROM t; -- all");
    command.schemaVersions = "1,2";
    command.requestId = "r1";
    command.wrapInTransaction = true;
    const auto query = dialect.encode(command);
    cr_assert_str_eq(query.text.c_str(),
                     "SET hyssoprock.schema_versions = '1,2'; BEGIN; INSERT INTO "
                     "hyssoprock_request (id) VALUES ('r1'); DELETE FROM t; -- all\n; COMMIT");
    const auto answer = dialect.interpret(
        query.expected, answerWith({"SET", "BEGIN", "INSERT 0 1", "DELETE 3", "COMMIT"}));
    cr_assert(answer.kind == AnswerKind::Success);
    cr_assert(answer.results.size() == 1 && answer.results[0].tag == "DELETE 3");
}

// Guards against delivering an answer with too few results as complete.
Test(postgres_endpoint_dialect, anAnswerOfAnotherFormIsUnknown)
{
    auto command = forward(StatementKind::Write, "DELETE FROM t");
    command.requestId = "r1";
    command.wrapInTransaction = true;
    const auto expected = dialect.encode(command).expected;
    cr_assert(dialect.interpret(expected, answerWith({"BEGIN", "INSERT 0 1", "COMMIT"})).kind
              == AnswerKind::Unknown);
    auto open = answerWith({"BEGIN", "INSERT 0 1", "DELETE 3", "COMMIT"});
    open.status = TransactionState::Open;
    cr_assert(dialect.interpret(expected, open).kind == AnswerKind::Unknown);
}

// Guards against repeating a write of which a part was committed, or which was rejected by the
// primary.
Test(postgres_endpoint_dialect, onlyARefusalOfOneTransactionByANonPrimaryProvesThatNothingRan)
{
    cr_assert(provesNotRun(kindOfRejection(true, EndpointRole::Replica, "25006")));
    cr_assert_not(provesNotRun(kindOfRejection(false, EndpointRole::Replica, "25006")));
    cr_assert_not(provesNotRun(kindOfRejection(true, EndpointRole::Primary, "25006")));
    cr_assert_not(provesNotRun(kindOfRejection(true, EndpointRole::Replica, "23505")));
}

// Guards against a conclusion from a look-up answer that does not report the request id.
Test(postgres_endpoint_dialect, aLookUpNeedsOneResult)
{
    const auto query = dialect.encode(LookUpRequestId{"r1"});
    cr_assert_str_eq(query.text.c_str(), "SELECT id FROM hyssoprock_request WHERE id = 'r1'");
    cr_assert_not(dialect.interpret(query.expected, answerWith({})).requestIdFound.has_value());
    auto answer = answerWith({"SELECT 0"});
    cr_assert(dialect.interpret(query.expected, answer).requestIdFound == false);
    answer.results[0].rows.push_back({"r1"});
    cr_assert(dialect.interpret(query.expected, answer).requestIdFound == true);
    answer.error = SqlError{"42P01", "no table"};
    cr_assert_not(dialect.interpret(query.expected, answer).requestIdFound.has_value());
}
