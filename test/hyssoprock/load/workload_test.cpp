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
    result.sessions = 10;
    result.run = "r";
    return result;
}

} // namespace

// Guards against calling an outcome certain that is not: only a text that says so is "not run".
Test(workload, outcomesAreTakenFromTheAnswer)
{
    Answer answer;
    cr_assert(outcomeOf(answer) == Outcome::Done);
    answer.state = "57P03";
    answer.message = "not run: the group has no primary at present";
    cr_assert(outcomeOf(answer) == Outcome::NotRun);
    answer.state = "08007";
    answer.message = "outcome unknown: the write may or may not have run";
    cr_assert(outcomeOf(answer) == Outcome::Unknown);
    answer.state = "57014";
    answer.message = "canceled";
    cr_assert(outcomeOf(answer) == Outcome::Failed);
    answer.message = "not run: too late";
    answer.broken = true;
    cr_assert(outcomeOf(answer) == Outcome::Unknown);
}

// Guards against a run that cannot be repeated, and against reading rows of another group, which
// the checker would take for an incomplete answer.
Test(workload, choicesDependOnTheSeedAndStayInTheGroup)
{
    const auto load = settings();
    RandomSource first{5};
    RandomSource second{5};
    std::set<std::uint32_t> others;
    for (int i = 0; i < 2000; ++i) {
        const auto session = static_cast<std::uint32_t>(i % 10);
        const auto step = chooseStep(load, session, first);
        const auto again = chooseStep(load, session, second);
        cr_assert(step.kind == again.kind && step.otherSession == again.otherSession);
        cr_assert(step.otherSession % 3 == session % 3 && step.otherSession < load.sessions);
        others.insert(step.otherSession);
    }
    cr_assert_eq(others.size(), 10);
}

// Guards against attributes that the proxy cannot find: they stand in a leading comment.
Test(workload, attributesLeadTheStatement)
{
    const StoredRow row{"s1-1", "s1", "s1-1", 1, bodyOf("s1-1")};
    cr_assert(insertStatement(settings(), row, true)
                  .starts_with("/*class='write',kind='load',understands='1',repeatable='no',"
                               "request_id='s1-1'*/ INSERT INTO"));
    cr_assert(
        readStatement(settings(), "s1", true)
            .starts_with("/*class='read',kind='load',understands='1',max_age_ms='2000'*/ SELECT"));
    cr_assert(readAllStatement(settings()).starts_with("SELECT"));
}

// Guards against taking an answer of another shape for rows of ours.
Test(workload, rowsOfAnotherShapeAreNoKnownRows)
{
    Answer answer;
    answer.rows = {{"i", "w", "t", "3", "b"}, {"i", "w"}, {std::nullopt, "w", "t", "x", "b"}};
    const auto rows = rowsOf(answer);
    const StoredRow expected{"i", "w", "t", 3, "b"};
    cr_assert(rows[0] == expected);
    cr_assert(rows[1].id.empty() && rows[2].id.empty());
    cr_assert_eq(rows[2].size, 0);
}

// Guards against passing a run in which a promise was broken or nothing was checked at the end.
Test(loadReport, unreadGroupDoesNotPass)
{
    LoadReport report;
    report.groups["a"].checked = true;
    cr_assert(report.passed());
    report.groups["b"].checked = false;
    cr_assert_not(report.passed());
    report.groups["b"].checked = true;
    report.violations.push_back({"lost write", "row 1"});
    cr_assert_not(report.passed());
}
