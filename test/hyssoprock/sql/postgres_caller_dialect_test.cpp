#include <criterion/criterion.h>

#include <hyssoprock/sql/postgres_caller_dialect.hpp>

using namespace hyssoprock;

// Guards against changing the text of a statement for the endpoint.
Test(postgres_caller_dialect, theTextIsKeptAsItIs)
{
    const std::string text = " /*class='read',kind='order'*/ SELECT 1 ; -- end";
    const auto statement = sql::PostgresCallerDialect{}.translate(text);
    cr_assert(statement.statement.text == text);
    cr_assert(statement.statement.kind == StatementKind::Write);
    cr_assert(statement.attributes.size() == 2);
    cr_assert(statement.attributes[1] == (AttributeSetting{"kind", "order"}));
}

// Guards against accepting a connection setting that has no effect after its statement, and against
// refusing one that is part of a longer text.
Test(postgres_caller_dialect, onlyALoneConnectionSettingIsRefusedOutsideTransactions)
{
    const sql::PostgresCallerDialect dialect;
    const auto alone = dialect.translate("SET search_path = 'x';").properties;
    cr_assert(alone.altersConnection
              && alone.errorOutsideTransaction->kind == ErrorKind::NotSupported);
    const auto longer = dialect.translate("SET search_path = 'x'; SELECT 1").properties;
    cr_assert(longer.altersConnection && !longer.errorOutsideTransaction);
    const auto second = dialect.translate("SELECT 1; SET search_path = 'x'").properties;
    cr_assert(second.altersConnection && !second.errorOutsideTransaction);
}

// Guards against sending a session command to an endpoint.
Test(postgres_caller_dialect, aSessionCommandIsNoStatementForAnEndpoint)
{
    const auto set = sql::PostgresCallerDialect{}.translate("SET hyssoprock.kind = 'order'");
    cr_assert(set.command == (SessionCommand{true, "kind", "order"}));
    cr_assert(set.statement.kind == StatementKind::Write && set.attributes.empty());
}
