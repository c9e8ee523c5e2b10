#include <string>

#include <criterion/criterion.h>

#include "session_fixture.hpp"

using namespace hyssoprock;
using namespace hyssoprock::test;

namespace {

constexpr auto idle = TransactionState::Idle;
constexpr auto open = TransactionState::Open;
constexpr auto failed = TransactionState::Failed;
const std::string insertSql = "INSERT INTO t (a) VALUES ('1')";
const std::string readSql = "/*class='read',kind='order',understands='1'*/ SELECT a FROM t";

void lose(SessionFixture &f, int ms)
{
    f.run(ConnectionLost{f.sent.connection}, ms);
}

/// Results of a request with an id: BEGIN, the id record, the statement, COMMIT.
std::vector<StatementResult> wrappedResults()
{
    return {tagged("BEGIN"), tagged("INSERT 0 1"), tagged("INSERT 0 1"), tagged("COMMIT")};
}

} // namespace

// Guards against an acknowledged write that is lost when its primary fails.
Test(session_outcome, aWriteIsAcknowledgedOnceAMajorityHoldsIt)
{
    SessionFixture f;
    f.statement(insertSql, 10);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(10, 9), 12);
    cr_assert_not(f.answer.has_value());
    cr_assert(f.released->reusable, "the connection is free while the write waits");
    f.learnMajority(10, 15);
    cr_assert(f.answer && !f.answer->error);
    const LogPosition expected{1, 10};
    cr_assert(f.machine.floor().establishedPosition("orders") == expected);
}

// Guards against reporting "not run" for, or repeating, a write whose connection was lost.
Test(session_outcome, aLostWriteIsUnknownAndIsNotSentAgain)
{
    SessionFixture f;
    f.statement(insertSql, 10);
    lose(f, 12);
    cr_assert(f.errorKind() == ErrorKind::OutcomeUnknown);
    cr_assert_eq(f.sends, 1);
    cr_assert_not(f.machine.floor().establishedPosition("orders").has_value(),
                  "the next read must see the write if it has run");
    f.statement(readSql, 20);
    cr_assert(f.acquire == std::nullopt && f.sends == 2);
    f.reply({rowsOf("a", {})}, idle, primaryReport(10, 10), 22);
    cr_assert(f.machine.floor().establishedPosition("orders").has_value());
}

// Guards against an acknowledgement when the lease expired between request and answer.
Test(session_outcome, anExpiredLeaseDelaysTheAnswerUntilItIsRenewed)
{
    SessionFixture f;
    f.statement(insertSql, 980);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(10, 10), 995);
    cr_assert_not(f.answer.has_value());
    f.renew(1000);
    cr_assert(f.answer && !f.answer->error);
}

// Guards against a write on an old primary that is acknowledged or reported as not run.
Test(session_outcome, aChangeOfTermMakesAWaitingWriteUnknown)
{
    SessionFixture f;
    f.statement(insertSql, 10);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(10, 9), 12);
    f.changeView(2, GroupState::Electing, "", 20);
    cr_assert(f.errorKind() == ErrorKind::OutcomeUnknown);
    f.learnMajority(10, 25);
    cr_assert_eq(f.answers, 1);
    const LogPosition expected{1, 10};
    cr_assert(f.machine.floor().lowerBound("orders") == expected);
}

// Guards against an acknowledgement from an endpoint with a newer term than the view.
Test(session_outcome, anAnswerOfANewerTermWaitsForTheView)
{
    SessionFixture f;
    f.statement(insertSql, 10);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(10, 10, 2), 12);
    cr_assert_not(f.answer.has_value());
    f.changeView(2, GroupState::Active, "ep-1", 20);
    cr_assert(f.answer && !f.answer->error);
}

// Guards against a write that fails because a fenced primary rejects it.
Test(session_outcome, aWriteRefusedByAFencedPrimaryRunsOnTheNextOne)
{
    SessionFixture f;
    f.statement(insertSql, 10);
    f.replyError("25006", idle, {{1, 9}, 9, EndpointRole::Fenced}, 12);
    cr_assert(f.answers == 0 && !f.acquire, "the same term is not tried again");
    f.run(Tick{}, 100);
    cr_assert_not(f.acquire.has_value());
    f.changeView(2, GroupState::Active, "ep-2", 200);
    cr_assert(f.acquire && f.acquire->endpoint == "ep-2" && !f.acquire->retry);
    f.grant(200);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(11, 11, 2), 203);
    cr_assert(f.answer && !f.answer->error);
}

// Guards against a request id outside the transaction of the statement, and against a trailing
// comment that hides the COMMIT.
Test(session_outcome, aRequestIdIsWrittenInTheSameTransaction)
{
    SessionFixture f;
    f.statement("/*request_id='r1'*/ " + insertSql + " -- note", 10);
    const auto expected = "BEGIN; INSERT INTO hyssoprock_request (id) VALUES ('r1'); "
                          "/*request_id='r1'*/ "
                          + insertSql + " -- note\n; COMMIT";
    cr_assert(f.sent.sql == expected);
    f.reply(wrappedResults(), idle, primaryReport(10, 10), 12);
    cr_assert(f.answer->results.size() == 1 && f.answer->results[0].tag == "INSERT 0 1");
    f.statement("/*request_id='r2'*/ " + insertSql + "; COMMIT; SELECT 1", 20);
    cr_assert(f.errorKind() == ErrorKind::InvalidAttribute);
    cr_assert_eq(f.sends, 1);
}

// Guards against a wrong outcome while the old term could still commit the request.
Test(session_outcome, anUnknownOutcomeIsSettledAfterTheOldTermIsFenced)
{
    for (const bool found : {true, false}) {
        SessionFixture f;
        f.statement("/*request_id='r1'*/ " + insertSql, 10);
        lose(f, 12);
        cr_assert_eq(f.answers, 0);
        f.grant(12);
        cr_assert(f.sent.sql.find("SELECT id FROM hyssoprock_request WHERE id = 'r1'") == 0);
        f.reply({rowsOf("id", {})}, idle, primaryReport(10, 10), 14);
        cr_assert_eq(f.answers, 0, "a look-up in the same term is inconclusive");
        f.changeView(2, GroupState::Active, "ep-2", 300);
        f.grant(300);
        const std::vector<std::string> ids =
            found ? std::vector<std::string>{"r1"} : std::vector<std::string>{};
        f.reply({rowsOf("id", ids)}, idle, primaryReport(12, 11, 2), 302);
        cr_assert_eq(f.answers, 0, "a later election could still revert the result");
        f.learnMajority(12, 305, 2);
        cr_assert_eq(f.answers, 1);
        cr_assert(f.errorKind() == (found ? ErrorKind::None : ErrorKind::EndpointLost));
        cr_assert_eq(f.sends, 3);
    }
}

// Guards against reporting "not run" while the endpoint may still read the request and run it once
// it is primary again: a delayed statement and two changes of primary.
Test(session_outcome, aRequestThatWasGivenUpIsNotProvenByAMissingId)
{
    for (const bool endsWithTerm : {false, true}) {
        SessionMachineSettings settings;
        settings.fencingClosesConnections = endsWithTerm;
        SessionFixture f{settings};
        f.statement("/*request_id='r1'*/ " + insertSql, 10);
        f.run(Tick{}, 10'010);
        cr_assert_not(f.released->reusable);
        f.renew(10'020);
        f.changeView(2, GroupState::Active, "ep-2", 10'200);
        cr_assert(f.acquire && f.acquire->endpoint == "ep-2");
        f.grant(10'200);
        f.reply({rowsOf("id", {})}, idle, primaryReport(12, 12, 2), 10'202);
        f.run(Tick{}, 10'010 + 10'000);
        cr_assert(f.errorKind()
                  == (endsWithTerm ? ErrorKind::EndpointLost : ErrorKind::OutcomeUnknown));
    }
}

// Guards against reporting "not run" when the same endpoint is primary again and may still read the
// request.
Test(session_outcome, theSameEndpointAsNextPrimaryProvesNothing)
{
    SessionFixture f;
    f.statement("/*request_id='r1'*/ " + insertSql, 10);
    lose(f, 12);
    f.acquire.reset();
    f.changeView(2, GroupState::Active, "ep-1", 300);
    f.run(ConnectionRefused{AcquireId{2}, ErrorKind::Unreachable, ""}, 301);
    f.run(Tick{}, 700);
    cr_assert(f.acquire.has_value());
    f.grant(700);
    f.reply({rowsOf("id", {})}, idle, primaryReport(12, 12, 2), 702);
    cr_assert_eq(f.answers, 0);
    f.run(Tick{}, 11'000);
    cr_assert(f.errorKind() == ErrorKind::OutcomeUnknown);
}

// Guards against a transaction that is split over two connections, and against reporting "not run"
// after a COMMIT was sent.
Test(session_outcome, aTransactionIsPinnedAndItsLossIsReportedTruly)
{
    for (const bool commitSent : {false, true}) {
        SessionFixture f;
        f.statement("BEGIN", 10);
        f.reply({tagged("BEGIN")}, open, primaryReport(9, 9), 11);
        cr_assert(f.answer->status == open && !f.released);
        const auto pinned = f.sent.connection;
        f.statement(commitSent ? "COMMIT" : insertSql, 12);
        cr_assert(f.sent.connection == pinned);
        lose(f, 13);
        cr_assert(f.errorKind()
                  == (commitSent ? ErrorKind::OutcomeUnknown : ErrorKind::EndpointLost));
        cr_assert(f.answer->status == (commitSent ? idle : failed));
    }
}

// Guards against statements that run outside a transaction after it was rolled back, and against a
// COMMIT that is reported as successful.
Test(session_outcome, afterALostTransactionNothingRunsUntilItsEnd)
{
    SessionFixture f;
    f.statement("BEGIN", 10);
    f.reply({tagged("BEGIN")}, open, primaryReport(9, 9), 11);
    f.changeView(2, GroupState::Active, "ep-2", 20);
    cr_assert(f.released && !f.released->reusable, "the old primary rolls back");
    f.statement("COMMIT", 30);
    cr_assert(f.errorKind() == ErrorKind::EndpointLost && f.answer->status == idle);

    f.statement("BEGIN", 40);
    f.reply({tagged("BEGIN")}, open, primaryReport(12, 12, 2), 41);
    lose(f, 42);
    f.statement(insertSql, 43);
    cr_assert(f.errorKind() == ErrorKind::EndpointLost && f.answer->status == failed);
    f.statement("COMMIT; " + insertSql, 44);
    cr_assert(f.errorKind() == ErrorKind::EndpointLost && f.answer->status == failed);
    f.statement("COMMIT", 45);
    cr_assert(!f.answer->error && sql::commandTag(f.answer->results[0]) == "ROLLBACK");
    cr_assert(f.answer->status == idle);
    cr_assert_eq(f.sends, 2);
}

// Guards against a wrong outcome after a savepoint removed the request id.
Test(session_outcome, aSavepointMakesAMissingIdInconclusive)
{
    SessionFixture f;
    f.statement("/*request_id='r1'*/ BEGIN", 10);
    f.reply({tagged("BEGIN"), tagged("INSERT 0 1")}, open, primaryReport(9, 9), 11);
    cr_assert(f.answer->results.size() == 1);
    f.statement("ROLLBACK TO SAVEPOINT a", 12);
    f.reply({tagged("ROLLBACK")}, open, primaryReport(9, 9), 13);
    f.statement("COMMIT", 14);
    lose(f, 15);
    f.changeView(2, GroupState::Active, "ep-2", 300);
    f.run(ConnectionRefused{AcquireId{2}, ErrorKind::Unreachable, ""}, 301);
    f.run(Tick{}, 700);
    f.grant(700);
    f.reply({rowsOf("id", {})}, idle, primaryReport(12, 12, 2), 702);
    f.run(Tick{}, 11'000);
    cr_assert(f.errorKind() == ErrorKind::OutcomeUnknown);
}

// Guards against reporting "not run" for a repeatable write that was sent once and got no
// connection for the retry.
Test(session_outcome, aRepeatedWriteThatIsRefusedIsUnknown)
{
    SessionFixture f;
    f.statement("/*repeatable='yes'*/ " + insertSql, 10);
    lose(f, 12);
    f.run(Tick{}, 200);
    cr_assert(f.acquire && f.acquire->retry);
    f.run(ConnectionRefused{f.acquire->acquire, ErrorKind::RetryBudgetExhausted, ""}, 201);
    cr_assert(f.errorKind() == ErrorKind::OutcomeUnknown);
}

// Guards against waiting for the deadline on each request of a host that is cut off.
Test(session_outcome, aHostThatIsCutOffRefusesAtOnce)
{
    SessionFixture f;
    f.statement("INSERT INTO orders (id) VALUES (1)", 1500);
    cr_assert_not(f.answer.has_value()); // The lease has just expired and may be renewed.
    f.run(Tick{}, 2500);
    cr_assert(f.errorKind() == ErrorKind::NoLease);
    f.statement("INSERT INTO orders (id) VALUES (2)", 4100);
    cr_assert(f.errorKind() == ErrorKind::NoLease);
    cr_assert_eq(f.sends, 0);
}

// Guards against sending statements of an open transaction after the lease expired.
Test(session_outcome, withoutALeaseATransactionWaitsAndIsThenRolledBack)
{
    SessionFixture f;
    f.statement("BEGIN", 980);
    f.reply({tagged("BEGIN")}, open, primaryReport(9, 9), 985);
    f.statement(insertSql, 995);
    cr_assert(f.sends == 1 && !f.answer);
    f.run(Tick{}, 1995);
    cr_assert(f.errorKind() == ErrorKind::NoLease && f.answer->status == failed);
    cr_assert_not(f.released->reusable);
}

// Guards against closing sessions with a running request or an open transaction at shutdown.
Test(session_outcome, aLeavingHostWaitsForTheEndOfATransaction)
{
    SessionFixture f;
    f.statement("BEGIN", 10);
    f.run(HostLeaving{}, 11);
    f.reply({tagged("BEGIN")}, open, primaryReport(9, 9), 12);
    cr_assert_not(std::holds_alternative<CloseCaller>(f.actions.back()));
    f.statement("COMMIT", 13);
    f.reply({tagged("COMMIT")}, idle, primaryReport(10, 10), 14);
    cr_assert(f.answer && !f.answer->error);
    cr_assert(std::holds_alternative<CloseCaller>(f.actions.back()));
}
