#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/session/session_command.hpp>

using namespace hyssoprock;

namespace {

ErrorKind kindOf(const Result<RequestAttributes> &result)
{
    return result.has_value() ? ErrorKind::None : result.error().kind;
}

} // namespace

// Guards against attributes of a comment that are lost or misread.
Test(request_attributes, aLeadingCommentIsDecoded)
{
    const auto attributes =
        attributesOf({}, "  /*class='read',kind='sales%20order',max_age_ms='2000',"
                         "understands='2,1',traceparent='00-ab',request_id='r-1'*/ SELECT 1");
    cr_assert(attributes.value().requestClass == RequestClass::Read);
    cr_assert(attributes.value().kind == "sales order");
    cr_assert(attributes.value().maxAge == Duration{2'000'000});
    const std::vector<std::uint32_t> versions{1, 2};
    cr_assert(attributes.value().understands == versions);
    cr_assert(attributes.value().requestId == "r-1");
}

// Guards against unmarked work that is taken for a read.
Test(request_attributes, otherCommentsChangeNothing)
{
    const RequestAttributes defaults;
    for (const auto *sql : {"/* class='read' is fast */ DELETE", "/*class=read*/ DELETE",
                            "DELETE /*class='read'*/", "-- class='read'\nDELETE",
                            "/*class='read' DELETE", "/*class='re%zzad'*/ DELETE", "/**/ DELETE"}) {
        cr_assert(attributesOf(defaults, sql).value() == defaults, "%s", sql);
    }
}

// Guards against a typing error that silently becomes the default.
Test(request_attributes, badValuesAreRefused)
{
    for (const auto *comment :
         {"class='readonly'", "max_age_ms='-1'", "max_age_ms='12x'", "understands='1,'",
          "understands='x'", "writes_version='one'", "repeatable='maybe'",
          "request_id='a%27); DROP'", "max_age_ms='99999999999'"}) {
        const auto sql = "/*" + std::string{comment} + "*/ SELECT 1";
        cr_assert(kindOf(attributesOf({}, sql)) == ErrorKind::InvalidAttribute, "%s", comment);
    }
}

// Guards against session commands that reach an endpoint, and statements that do not.
Test(session_command, onlyWholeSessionCommandsAreRecognised)
{
    const auto set = parseSessionCommand("set Hyssoprock.Class = 'it''s';");
    cr_assert(set.value() == (SessionCommand{true, "class", "it's"}));
    cr_assert(parseSessionCommand("SET hyssoprock.kind TO 'order'").value().value == "order");
    cr_assert(parseSessionCommand("SHOW hyssoprock.session").value().name == "session");
    cr_assert_not(parseSessionCommand("SET search_path = 'x'").has_value());
    cr_assert_not(parseSessionCommand("SET hyssoprock.kind = 'a'; DELETE").has_value());
    cr_assert_not(parseSessionCommand("SHOW hyssoprock").has_value());
}

// Guards against a COMMIT that is not seen, which would make a lost write "not run".
Test(session_command, whateverCouldCommitIsSeen)
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
    cr_assert(transactionCommand("start transaction;") == StatementKind::Begin);
    cr_assert_not(transactionCommand("BEGIN; DELETE FROM t").has_value());
    cr_assert_not(transactionCommand("ROLLBACK TO SAVEPOINT a").has_value());
    cr_assert(mixesTransactionControl("DELETE FROM t; COMMIT; BEGIN"));
    cr_assert_not(mixesTransactionControl("COMMIT ; "));
}

// Guards against a connection whose settings reach the next caller.
Test(session_command, changesOfTheConnectionAreSeen)
{
    cr_assert(altersConnection("SET search_path = 'x'"));
    cr_assert(altersConnection("SELECT 1; reset all"));
    cr_assert_not(altersConnection("UPDATE t SET x = 1"));
}
