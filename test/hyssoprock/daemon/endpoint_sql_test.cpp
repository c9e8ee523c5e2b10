#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/daemon/shared/endpoint_sql.hpp>

using namespace hyssoprock;

namespace {

PgAnswer statusAnswer()
{
    const std::vector<std::pair<std::string, std::string>> values{
        {"name", "orders-1"},     {"incarnation", "3"},
        {"role", "primary"},      {"term", "7"},
        {"last_term", "6"},       {"last_index", "41"},
        {"majority_index", "40"}, {"fenced_term", "7"},
        {"primary", "orders-1"},  {"in_flight", "2"},
        {"connections", "9"},     {"voters", "orders-1=127.0.0.1:1,orders-2=127.0.0.1:2"}};
    PgStatementResult statement;
    statement.hasRows = true;
    statement.rows.emplace_back();
    for (const auto &[name, value] : values) {
        PgColumn column;
        column.name = name;
        statement.columns.push_back(column);
        statement.rows[0].emplace_back(value);
    }
    PgAnswer answer;
    answer.statements.push_back(statement);
    return answer;
}

} // namespace

// Guards against SQL injection by names or addresses that contain quotes.
Test(endpointSql, quotesAreDoubled)
{
    const auto sql = toSql(FollowCall{4, "o'x", "127.0.0.1:1"});
    cr_assert(sql == "SELECT hyssoprock_follow(4, 'o''x', '127.0.0.1:1')", "%s", sql.c_str());
    const auto voters = toSql(PromoteCall{4, {{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}}});
    cr_assert(voters == "SELECT hyssoprock_promote(4, 'a=127.0.0.1:1,b=127.0.0.1:2')");
}

// Guards against reading columns by index and against confusing the position with other numbers.
Test(endpointSql, aStatusRowIsReadByColumnNames)
{
    const auto report = parseAnswer(StatusCall{}, statusAnswer()).value();
    cr_assert(report.name == "orders-1");
    const LogPosition position{6, 41};
    cr_assert(report.position == position);
    cr_assert(report.majorityIndex == 40);
    cr_assert(report.term == 7);
    const std::vector<std::string> voters{"orders-1", "orders-2"};
    cr_assert(report.voters == voters);
}

// Guards against reading a missing or malformed column as zero, which would look like an empty log.
Test(endpointSql, malformedAnswersAreRefused)
{
    for (std::size_t column = 0; column < statusAnswer().statements[0].columns.size(); ++column) {
        auto renamed = statusAnswer();
        renamed.statements[0].columns[column].name = "other";
        cr_assert(parseAnswer(StatusCall{}, renamed).error().kind == ErrorKind::ProtocolViolation);
    }
    for (const auto *bad : {"", "x", "-1", "1 ", "99999999999999999999999"}) {
        auto answer = statusAnswer();
        answer.statements[0].rows[0][5] = bad;
        cr_assert(parseAnswer(StatusCall{}, answer).has_error(), "%s", bad);
    }
    auto empty = statusAnswer();
    empty.statements[0].rows.clear();
    cr_assert(parseAnswer(StatusCall{}, empty).has_error());
    cr_assert(parseAnswer(StatusCall{}, PgAnswer{}).has_error());
}

// Guards against treating a refused fence or promotion as successful.
Test(endpointSql, anErrorIsARefusal)
{
    PgAnswer answer;
    answer.statements.emplace_back();
    answer.statements[0].error = PgStatementError{"ERROR", "55000", "term is fenced", ""};
    const auto refused = parseAnswer(PromoteCall{4, {}}, answer);
    cr_assert(refused.error().kind == ErrorKind::Refused);
    cr_assert(refused.error().detail == "55000 term is fenced");
}
