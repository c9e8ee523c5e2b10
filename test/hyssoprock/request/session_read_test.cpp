#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include "session_fixture.hpp"

using namespace hyssoprock;
using namespace hyssoprock::test;

namespace {

constexpr auto idle = TransactionState::Idle;
constexpr auto open = TransactionState::Open;
const std::string readSql = "/*class='read',kind='order',understands='1'*/ SELECT a FROM t";

/// Records a position sample at 50 ms and a current replica, so that reads are routed to ep-2.
void warmUp(SessionFixture &f)
{
    f.host.recordReport("orders", "ep-1", primaryReport(10, 10), at(50), true, at(51));
    f.host.recordReport("orders", "ep-2", replicaReport(10, 10), at(50), true, at(51));
    f.host.endpoints.setEjected("ep-3", true);
}

bool forwarded(const SessionFixture &f)
{
    return std::any_of(f.actions.begin(), f.actions.end(), [](const SessionAction &action) {
        return std::holds_alternative<ForwardRows>(action);
    });
}

} // namespace

// Guards against delivering replica answers that are below the floor or too old.
Test(session_read, anUnsuitableReplicaAnswerIsDiscardedAndTheReadSentElsewhere)
{
    for (const int answeredAt : {55, 200}) {
        SessionFixture f;
        warmUp(f);
        f.statement(readSql, 54);
        f.reply({rowsOf("a", {"old"})}, idle, replicaReport(answeredAt == 55 ? 9 : 10, 9),
                answeredAt);
        cr_assert_not(f.answer.has_value());
        cr_assert(f.acquire && f.acquire->endpoint == "ep-1" && f.acquire->retry);
        f.grant(answeredAt);
        f.reply({rowsOf("a", {"new"})}, idle, primaryReport(10, 10), answeredAt + 2);
        cr_assert(f.answer->results[0].rows[0][0] == "new");
    }
}

// Guards against delivering values of a replica that a failover can revert.
Test(session_read, aReplicaAnswerWaitsUntilAMajorityHoldsIt)
{
    SessionFixture f;
    warmUp(f);
    f.statement(readSql, 54);
    f.reply({rowsOf("a", {"1"})}, idle, replicaReport(12, 11), 56);
    cr_assert_not(f.answer.has_value());
    f.learnMajority(12, 60);
    cr_assert(f.answer && !f.answer->error);
    const LogPosition expected{1, 12};
    cr_assert(f.machine.floor().establishedPosition("orders") == expected);
}

// Guards against a late answer that is delivered to another request.
Test(session_read, anAnswerAfterTheTimeoutIsIgnoredAndItsConnectionClosed)
{
    SessionFixture f;
    warmUp(f);
    f.statement(readSql, 54);
    const auto late = f.sent;
    f.run(Tick{}, 54 + 10'000);
    cr_assert(f.errorKind() == ErrorKind::DeadlineExceeded);
    cr_assert_not(f.released->reusable);
    f.renew(10'100);
    f.statement("SELECT b FROM t", 10'200);
    f.run(
        EndpointAnswer{
            late.connection, late.send, {rowsOf("a", {"x"})}, {}, idle, replicaReport(10, 10)},
        10'201);
    cr_assert_not(f.answer.has_value());
}

// Guards against delivering an answer of a primary whose term is over; the read is repeated
// instead.
Test(session_read, aReadOfAnOldPrimaryIsSentToTheNext)
{
    SessionFixture f;
    f.statement("/*class='read'*/ SELECT a FROM t", 10);
    f.changeView(2, GroupState::Active, "ep-2", 11);
    f.reply({rowsOf("a", {"old"})}, idle, primaryReport(10, 10), 12);
    cr_assert_not(f.answer.has_value());
    f.run(Tick{}, 100);
    cr_assert(f.acquire && f.acquire->endpoint == "ep-2");
}

// Guards against sending a request to a former primary when it was queued during the change.
Test(session_read, aConnectionThatIsGrantedTooLateIsGivenBack)
{
    SessionFixture f;
    f.run(f.dialect.translate("SELECT a FROM t"), 10);
    f.changeView(1, GroupState::Handover, "ep-1", 20);
    f.grant(21);
    cr_assert(f.sends == 0 && f.released->reusable);
    f.changeView(2, GroupState::Active, "ep-2", 30);
    cr_assert(f.acquire && f.acquire->endpoint == "ep-2");
}

// Guards against a class='read' transaction that is moved to another endpoint.
Test(session_read, aReadTransactionStaysOnItsReplica)
{
    SessionFixture f;
    warmUp(f);
    f.statement("/*class='read',kind='order',understands='1'*/ BEGIN", 54);
    f.reply({tagged("BEGIN")}, open, replicaReport(10, 10), 55);
    cr_assert(f.answer->status == open);
    const auto pinned = f.sent.connection;
    f.statement("SELECT a FROM t", 56);
    cr_assert(f.sent.connection == pinned && !f.acquire);
    f.reply({rowsOf("a", {"1"})}, open, replicaReport(10, 10), 57);
    cr_assert(f.answer && !f.answer->error);
    // The data is too old, and the transaction cannot be continued on another endpoint.
    f.statement("SELECT a FROM t", 58);
    f.reply({rowsOf("a", {"1"})}, open, replicaReport(10, 10), 300);
    cr_assert(f.errorKind() == ErrorKind::AgeNotProven);
    cr_assert(f.answer->status == TransactionState::Failed && !f.released->reusable);
}

// Guards against delivering records in a schema version that the caller does not understand.
Test(session_read, anAnswerWithAnotherVersionIsWithheld)
{
    SessionFixture f;
    warmUp(f);
    f.statement(readSql, 54);
    cr_assert(f.sent.sql.find("SET hyssoprock.schema_versions = '1'; ") == 0);
    f.reply({rowsOf("schema_version", {"1", "2"})}, idle, replicaReport(10, 10), 55);
    cr_assert(f.errorKind() == ErrorKind::AnswerWithheld);
    f.statement("/*class='read',kind='order',understands='7'*/ SELECT 1", 56);
    cr_assert(f.errorKind() == ErrorKind::VersionNotUnderstood);
    f.statement("/*kind='order',writes_version='2'*/ INSERT INTO t (a) VALUES ('1')", 57);
    cr_assert(f.errorKind() == ErrorKind::VersionNotWritable);
    cr_assert_eq(f.sends, 1);
}

// Guards against a version filter that remains on a connection for the next caller.
Test(session_read, theVersionFilterIsResetForOtherWork)
{
    SessionFixture f;
    f.run(f.dialect.translate("SELECT a FROM t"), 10);
    f.grant(10, "1,2");
    cr_assert_str_eq(f.sent.sql.c_str(), "SET hyssoprock.schema_versions = ''; SELECT a FROM t");
    f.reply({rowsOf("a", {})}, idle, primaryReport(10, 10), 11);
    cr_assert(f.answer->results.size() == 1);
    cr_assert(f.released->schemaVersions.empty());
    f.statement("SET search_path = 'x'", 12);
    cr_assert(f.errorKind() == ErrorKind::NotSupported);
}

// Guards against forwarding rows before a majority holds their position, and against repeating a
// read after rows were forwarded.
Test(session_read, aLargeAnswerIsStreamedUnderTheSameRules)
{
    SessionFixture f;
    warmUp(f);
    f.statement(readSql, 54);
    const auto part = [&f](const std::string &value) {
        auto rows = rowsOf("a", {value});
        rows.tag.clear();
        return f.endpoints.interpretPart(
            f.sent.expected,
            AnswerPart{f.sent.connection, f.sent.send, rows, 1, replicaReport(12, 11)});
    };
    f.run(part("1"), 56);
    cr_assert_not(forwarded(f));
    f.learnMajority(12, 58);
    cr_assert(forwarded(f));
    f.run(part("2"), 60);
    cr_assert(forwarded(f));
    f.run(ConnectionLost{f.sent.connection}, 61);
    cr_assert(f.errorKind() == ErrorKind::EndpointLost);
    cr_assert_eq(f.sends, 1);
}

// Guards against reading older data after a session moves to another host.
Test(session_read, aTokenCarriesTheFloorToAnotherHost)
{
    SessionFixture first;
    first.statement("INSERT INTO t (a) VALUES ('1')", 10);
    first.reply({tagged("INSERT 0 1")}, idle, primaryReport(11, 11), 12);
    std::string token;
    for (const auto &action : first.actions) {
        if (const auto *report = std::get_if<ReportToken>(&action)) {
            token = report->token;
        }
    }
    SessionFixture second;
    warmUp(second);
    second.statement("SET hyssoprock.session = '" + token + "'", 53);
    cr_assert(second.answer && !second.answer->error);
    second.statement(readSql, 54);
    cr_assert(second.acquire == std::nullopt);
    cr_assert_eq(second.host.endpoints.find("ep-2").inFlight, 0U, "ep-2 has 10, the floor is 11");
    second.run(CallerDisconnected{}, 55);
    second.statement("SET hyssoprock.session = 'nonsense'", 56);
    cr_assert_not(second.answer.has_value(), "a closed session answers nothing");
    first.statement("SET hyssoprock.session = 'nonsense'", 60);
    cr_assert(first.errorKind() == ErrorKind::InvalidToken);
}

namespace {

/// Version 1 is complete, version 2 from position 1/20 on, version 3 not yet; all are writable.
void declareThreeVersions(SessionFixture &f)
{
    auto configuration = *f.host.views.configuration();
    ++configuration.revision;
    auto &rule = configuration.rules.front();
    rule.replicasAllowed = false;
    rule.versions = {VersionRule{1, LogPosition{0, 0}, true},
                     VersionRule{2, LogPosition{1, 20}, true}, VersionRule{3, std::nullopt, true}};
    HostRenewResponse response;
    response.sequence = ++f.sequence;
    response.leaseMs = 1000;
    response.viewVersion = f.host.views.viewVersion();
    response.configuration = configuration;
    f.host.views.recordRenewalSent(f.sequence, at(0));
    f.host.views.apply(response);
}

} // namespace

// Guards against a read that is repeated up to the limit and then fails with a connection error
// because the primary has not reached the position from which the newest version is complete. The
// next lower complete version must be read; without one the read is refused as not understood.
Test(session_read, anIncompleteVersionOnThePrimaryIsReplacedByACompleteOne)
{
    for (const bool understandsBoth : {true, false}) {
        SessionFixture f;
        declareThreeVersions(f);
        const std::string understood = understandsBoth ? "1,2" : "2";
        f.statement(
            "/*class='read',kind='order',understands='" + understood + "'*/ SELECT a FROM t", 10);
        cr_assert(f.sent.sql.starts_with("SET hyssoprock.schema_versions = '2'; "));
        f.reply({rowsOf("schema_version", {"2"})}, idle, primaryReport(12, 12), 12);
        cr_assert_not(f.answer.has_value());
        f.run(Tick{}, 100);
        cr_assert(f.acquire.has_value());
        f.grant(100, "2");
        if (understandsBoth) {
            cr_assert(f.sent.sql.starts_with("SET hyssoprock.schema_versions = '1'; "));
            f.reply({rowsOf("schema_version", {"1"})}, idle, primaryReport(12, 12), 102);
            cr_assert(f.answer && !f.answer->error);
        } else {
            cr_assert(f.errorKind() == ErrorKind::VersionNotUnderstood);
            cr_assert_eq(f.sends, 1);
        }
    }
}

// Guards against an unknown outcome because a version is not complete yet, although the change
// returns no rows.
Test(session_read, aWriteOfAnIncompleteVersionIsAcknowledged)
{
    SessionFixture f;
    declareThreeVersions(f);
    f.statement(
        "/*kind='order',understands='2',writes_version='2'*/ INSERT INTO t (a) VALUES ('1')", 10);
    f.reply({tagged("INSERT 0 1")}, idle, primaryReport(12, 12), 12);
    cr_assert(f.answer && !f.answer->error);
}
