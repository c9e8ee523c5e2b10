#include <set>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/load/load_report.hpp>
#include <hyssoprock/load/workload.hpp>

using namespace hyssoprock;
using namespace hyssoprock::load;

namespace {

LoadSettings settings()
{
    LoadSettings result;
    result.groups = {"a", "b", "c"};
    result.sessionCount = 10;
    result.runId = "r";
    return result;
}

} // namespace

// Guards against classifying an uncertain outcome as certain: an error counts as not run only if
// its message says so and the connection was not lost.
Test(workload, classifiesOutcomesByResult)
{
    QueryResult result;
    cr_assert(classifyOutcome(result) == Outcome::Done);
    result.sqlState = "57P03";
    result.message = "not run: the group has no primary at present";
    cr_assert(classifyOutcome(result) == Outcome::NotRun);
    result.sqlState = "08007";
    result.message = "outcome unknown: the write may or may not have run";
    cr_assert(classifyOutcome(result) == Outcome::Unknown);
    result.sqlState = "57014";
    result.message = "canceled";
    cr_assert(classifyOutcome(result) == Outcome::Failed);
    result.message = "not run: too late";
    result.connectionLost = true;
    cr_assert(classifyOutcome(result) == Outcome::Unknown);
}

// Guards against a run that is not reproducible from its seed, and against reading rows of another
// group, which the checker would report as missing rows.
Test(workload, choicesDependOnSeedAndStayInGroup)
{
    const auto load = settings();
    RandomSource first{5};
    RandomSource second{5};
    std::set<std::uint32_t> others;
    for (int i = 0; i < 2000; ++i) {
        const auto session = static_cast<std::uint32_t>(i % 10);
        const auto operation = chooseOperation(load, session, first);
        const auto again = chooseOperation(load, session, second);
        cr_assert(operation.kind == again.kind && operation.targetSession == again.targetSession);
        cr_assert(operation.targetSession % 3 == session % 3
                  && operation.targetSession < load.sessionCount);
        others.insert(operation.targetSession);
    }
    cr_assert_eq(others.size(), 10);
}

// Guards against attributes that the proxy ignores because they are not in a leading comment.
Test(workload, attributesPrecedeTheStatement)
{
    const StoredRow row{"s1-1", "s1", "s1-1", 1, rowBody("s1-1")};
    cr_assert(insertStatement(settings(), row, true)
                  .starts_with("/*class='write',kind='load',understands='1',repeatable='no',"
                               "request_id='s1-1'*/ INSERT INTO"));
    cr_assert(
        readStatement(settings(), "s1", true)
            .starts_with("/*class='read',kind='load',understands='1',max_age_ms='2000'*/ SELECT"));
    cr_assert(readAllStatement(settings()).starts_with("SELECT"));
}

// Guards against accepting a result with unexpected columns as rows of the run.
Test(workload, parsesUnexpectedColumnsAsUnknownRows)
{
    QueryResult result;
    result.rows = {{"i", "w", "t", "3", "b"}, {"i", "w"}, {std::nullopt, "w", "t", "x", "b"}};
    const auto rows = parseRows(result);
    const StoredRow expected{"i", "w", "t", 3, "b"};
    cr_assert(rows[0] == expected);
    cr_assert(rows[1].id.empty() && rows[2].id.empty());
    cr_assert_eq(rows[2].transactionRowCount, 0);
}

// Guards against passing a run with a violated guarantee or with unchecked final rows.
Test(loadReport, unreadGroupDoesNotPass)
{
    LoadReport report;
    report.groups["a"].finalRowsRead = true;
    cr_assert(report.passed());
    report.groups["b"].finalRowsRead = false;
    cr_assert_not(report.passed());
    report.groups["b"].finalRowsRead = true;
    report.violations.push_back({"lost write", "row 1"});
    cr_assert_not(report.passed());
}
