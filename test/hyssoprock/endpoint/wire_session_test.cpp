#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/endpoint/wire_session.hpp>

#include "recording_journal.hpp"

using namespace hyssoprock;
using namespace hyssoprock::endpoint;
using Step = WireSession::Step;

namespace {

constexpr Instant start{};

struct Endpoint
{
    explicit Endpoint(bool primary = true)
    {
        if (primary) {
            cr_assert(instance.database.promote(1, {{"a", "x:1"}}).has_value());
        }
    }

    RecordingJournal journal;
    Instance instance{"a", 1, Database{"a", Duration{0}, journal}};
};

/// Formats rows, errors, command tags and the transaction status of an answer as text.
std::string readable(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at + 5 <= bytes.size();) {
        std::size_t length = 0;
        for (std::size_t i = 1; i <= 4; ++i) {
            length = (length << 8U) | static_cast<unsigned char>(bytes[at + i]);
        }
        const auto body = bytes.substr(at + 5, length - 4);
        switch (bytes[at]) {
        case 'D':
            text += "row";
            for (std::size_t v = 2; v + 4 <= body.size();) {
                const auto size = static_cast<signed char>(body[v + 3]);
                text +=
                    size < 0 ? " null" : " " + body.substr(v + 4, static_cast<std::size_t>(size));
                v += 4 + static_cast<std::size_t>(size < 0 ? 0 : size);
            }
            text += ";";
            break;
        case 'C':
            text += body.substr(0, body.size() - 1) + ";";
            break;
        case 'E':
            text += "error " + body.substr(body.find('C', 8) + 1, 5) + ";";
            break;
        case 'Z':
            text += "ready " + body;
            break;
        default:
            break;
        }
        at += 1 + length;
    }
    return text;
}

struct Session
{
    Session(Endpoint &endpoint, std::uint32_t number)
        : wire{endpoint.instance, number, 0}
    {}

    std::string query(const std::string &text)
    {
        step = wire.handle(pgwire::Query{text}, start);
        return readable(wire.takeOutput());
    }

    WireSession wire;
    Step step = Step::Done;
};

} // namespace

// Guards against uncommitted rows that other sessions see, or that their own session does not.
Test(wireSession, transactionIsInvisibleUntilItsEnd)
{
    Endpoint endpoint;
    Session writer{endpoint, 1};
    Session reader{endpoint, 2};
    cr_assert(writer.query("BEGIN; INSERT INTO t (id, v) VALUES ('1', 5)")
              == "BEGIN;INSERT 0 1;ready T");
    cr_assert(reader.query("SELECT count(*) FROM t") == "row 0;SELECT 1;ready I");
    cr_assert(writer.query("UPDATE t SET v = v + 2 WHERE id = '1'") == "UPDATE 1;ready T");
    cr_assert(writer.query("SELECT v FROM t") == "row 7;SELECT 1;ready T");
    cr_assert(writer.query("COMMIT") == "COMMIT;ready I");
    cr_assert(reader.query("SELECT id, v FROM t") == "row 1 7;SELECT 1;ready I");
    cr_assert_eq(endpoint.journal.entries.size(), 2);
}

// Guards against a failed batch or transaction that is partially committed.
Test(wireSession, errorRollsEverythingBack)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    cr_assert(session.query("INSERT INTO t (id) VALUES (1); SHOW nothing")
              == "INSERT 0 1;error 42704;ready I");
    cr_assert(session.query("SELECT count(*) FROM t") == "row 0;SELECT 1;ready I");
    cr_assert(session.query("BEGIN; INSERT INTO t (id) VALUES (1)") == "BEGIN;INSERT 0 1;ready T");
    cr_assert(session.query("nonsense") == "error 42601;ready E");
    cr_assert(session.query("SELECT 1") == "error 25P02;ready E");
    cr_assert(session.query("COMMIT") == "ROLLBACK;ready I");
    cr_assert(session.query("SELECT count(*) FROM t") == "row 0;SELECT 1;ready I");
}

// Guards against a transaction that outlives its connection: its rows and table lock must be
// released.
Test(wireSession, brokenConnectionRollsBack)
{
    Endpoint endpoint;
    Session lost{endpoint, 1};
    Session other{endpoint, 2};
    static_cast<void>(other.query("INSERT INTO t (id, v) VALUES (1, 1)"));
    static_cast<void>(lost.query("BEGIN; UPDATE t SET v = 2 WHERE id = 1"));
    cr_assert(other.query("UPDATE t SET v = v + 1").empty());
    cr_assert(other.step == Step::Blocked);
    lost.wire.rollback();
    cr_assert(other.wire.resume(start) == Step::Done);
    cr_assert(readable(other.wire.takeOutput()) == "UPDATE 1;ready I");
    cr_assert(other.query("SELECT v FROM t") == "row 2;SELECT 1;ready I");
}

// Guards against executing the statements before a blocked one twice.
Test(wireSession, blockedBatchGoesOnWhereItStopped)
{
    Endpoint endpoint;
    Session holder{endpoint, 1};
    Session waiter{endpoint, 2};
    static_cast<void>(holder.query("BEGIN; DELETE FROM t"));
    static_cast<void>(waiter.query("INSERT INTO u (id) VALUES (1); DELETE FROM t"));
    cr_assert(waiter.step == Step::Blocked);
    static_cast<void>(waiter.wire.resume(start));
    static_cast<void>(holder.query("ROLLBACK"));
    cr_assert(waiter.wire.resume(start) == Step::Done);
    cr_assert(holder.query("SELECT count(*) FROM u") == "row 1;SELECT 1;ready I");
}

// Guards against a write on a replica or fenced primary, also by a transaction that began before
// the fence.
Test(wireSession, writesAreRefusedWithoutARole)
{
    Endpoint replica{false};
    Session first{replica, 1};
    cr_assert(first.query("INSERT INTO t (id) VALUES (1)") == "error 25006;ready I");

    Endpoint endpoint;
    Session session{endpoint, 1};
    static_cast<void>(session.query("BEGIN; INSERT INTO t (id) VALUES (1)"));
    cr_assert(endpoint.instance.database.fence(2).has_value());
    cr_assert(session.query("COMMIT") == "error 25006;ready I");
    cr_assert(session.query("SELECT count(*) FROM t") == "row 0;SELECT 1;ready I");
}

// Guards against committing changes that were made in an earlier term: the rows that they refer to
// may have been truncated.
Test(wireSession, transactionOfAnEarlierTermIsRefused)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    static_cast<void>(session.query("BEGIN; INSERT INTO t (id) VALUES (1)"));
    cr_assert(endpoint.instance.database.promote(2, {{"a", "x:1"}}).has_value());
    cr_assert(session.query("COMMIT") == "error 25006;ready I");
}

// Guards against returning rows of schema versions that were not requested.
Test(wireSession, schemaVersionsAreFiltered)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    static_cast<void>(
        session.query("INSERT INTO t (id, schema_version) VALUES (1, 1), (2, 2), (3, 12);"
                      "INSERT INTO t (id) VALUES (4)"));
    static_cast<void>(session.query("SET hyssoprock.schema_versions = '2,3'"));
    cr_assert(session.query("SELECT id FROM t") == "row 2;row 4;SELECT 2;ready I");
}

// Guards against a position that is sent after the rows or does not include the session's own
// write.
Test(wireSession, positionsComeBeforeTheRows)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    static_cast<void>(session.wire.handle(pgwire::Query{"INSERT INTO t (id) VALUES (1)"}, start));
    const auto write = session.wire.takeOutput();
    const auto index = write.find(std::string{"hyssoprock.index\0002\0", 19});
    cr_assert(index != std::string::npos && index < write.find("INSERT 0 1"));
    static_cast<void>(session.wire.handle(pgwire::Query{"SELECT id FROM t"}, start));
    const auto read = session.wire.takeOutput();
    cr_assert(read.find("hyssoprock.role") < read.find("SELECT 1"));
}

// Guards against answers to the messages between an error and Sync.
Test(wireSession, extendedQueryWithParameters)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    const auto run = [&session](const std::string &text, std::vector<Value> values) {
        static_cast<void>(session.wire.handle(pgwire::Parse{"", text, {}}, start));
        static_cast<void>(
            session.wire.handle(pgwire::Bind{"", "", {}, std::move(values), {}}, start));
        static_cast<void>(session.wire.handle(pgwire::Execute{"", 0}, start));
        static_cast<void>(session.wire.handle(pgwire::Sync{}, start));
        return readable(session.wire.takeOutput());
    };
    cr_assert(run("INSERT INTO t (id, v) VALUES ($1, $2)", {"it's", std::nullopt})
              == "INSERT 0 1;ready I");
    cr_assert(run("SELECT id, v FROM t WHERE id = $1", {"it's"})
              == "row it's null;SELECT 1;ready I");
    cr_assert(run("SELECT id FROM t WHERE id = $2", {"x"}) == "error 08P01;ready I");
}

// Guards against accepting statements outside the supported grammar.
Test(wireSession, garbageStatementsAreSyntaxErrors)
{
    Endpoint endpoint;
    Session session{endpoint, 1};
    for (const std::string text :
         {"INSERT INTO t (a, b) VALUES (1)", "SELECT FROM", "UPDATE t", "'open", "/* open",
          "SELECT 1 1", "DELETE t", "SELECT * FROM t WHERE a < 1", "SELECT $0",
          "SET x =", "INSERT INTO t () VALUES ()"}) {
        cr_assert(session.query(text) == "error 42601;ready I", "%s", text.c_str());
    }
    cr_assert(session.query("") == "ready I");
    cr_assert(session.query("SELECT hyssoprock_fence('x')") == "error 22023;ready I");
}
