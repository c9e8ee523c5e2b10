#include <criterion/criterion.h>

#include <hyssoprock/sql/statement_text.hpp>

using namespace hyssoprock;
using namespace hyssoprock::sql;

// Guards against sending session commands to an endpoint, and against intercepting statements.
Test(statement_text, onlyWholeSessionCommandsAreRecognised)
{
    const auto set = parseSessionCommand("set Hyssoprock.Class = 'it''s';");
    cr_assert(set.value() == (SessionCommand{true, "class", "it's"}));
    cr_assert(parseSessionCommand("SET hyssoprock.kind TO 'order'").value().value == "order");
    cr_assert(parseSessionCommand("SHOW hyssoprock.session").value().name == "session");
    cr_assert_not(parseSessionCommand("SET search_path = 'x'").has_value());
    cr_assert_not(parseSessionCommand("SET hyssoprock.kind = 'a'; DELETE").has_value());
    cr_assert_not(parseSessionCommand("SHOW hyssoprock").has_value());
}

// Guards against an undetected COMMIT, after which a lost write would be reported as not run.
Test(statement_text, whateverCouldCommitIsSeen)
{
    for (const auto *sql :
         {"COMMIT", "/* x */ commit;", "END", "INSERT INTO t VALUES (1); COMMIT",
          "PREPARE TRANSACTION 'x'", "COMMIT AND CHAIN", "-- c\nCOMMIT", "CALL pay(1)"}) {
        cr_assert(mayCommit(sql), "%s", sql);
    }
    for (const auto *sql :
         {"INSERT INTO t VALUES ('commit')", "SELECT 1", "UPDATE t SET x = 1;", "ROLLBACK"}) {
        cr_assert_not(mayCommit(sql), "%s", sql);
    }
    cr_assert(parseTransactionCommand("start transaction;") == StatementKind::Begin);
    cr_assert_not(parseTransactionCommand("BEGIN; DELETE FROM t").has_value());
    cr_assert_not(parseTransactionCommand("ROLLBACK TO SAVEPOINT a").has_value());
    cr_assert(mixesTransactionControl("DELETE FROM t; COMMIT; BEGIN"));
    cr_assert_not(mixesTransactionControl("COMMIT ; "));
}

// Guards against connection settings that remain in effect for the next caller.
Test(statement_text, changesOfTheConnectionAreSeen)
{
    cr_assert(altersConnection("SET search_path = 'x'"));
    cr_assert(altersConnection("SELECT 1; reset all"));
    cr_assert_not(altersConnection("UPDATE t SET x = 1"));
}
