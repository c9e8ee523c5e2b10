#include <hyssoprock/sql/postgres_caller_dialect.hpp>

#include <string_view>
#include <utility>

#include <hyssoprock/sql/attribute_comment.hpp>
#include <hyssoprock/sql/statement_text.hpp>

namespace hyssoprock::sql {

CallerStatement PostgresCallerDialect::translate(std::string text) const
{
    const std::string_view sql{text};
    CallerStatement result;
    result.statement.kind = parseTransactionCommand(sql).value_or(StatementKind::Write);
    result.command = parseSessionCommand(sql);
    if (!result.command) {
        result.attributes = parseLeadingAttributes(sql);
        auto &properties = result.properties;
        properties.mayCommit = mayCommit(sql);
        properties.mixesTransactionControl = mixesTransactionControl(sql);
        properties.usesSavepoints = usesSavepoints(sql);
        properties.altersConnection = altersConnection(sql);
        if (properties.altersConnection && !hasSeveralStatements(sql)
            && altersConnection(sql.substr(0, sql.find(';')))) {
            properties.errorOutsideTransaction =
                Error{ErrorKind::NotSupported,
                      "connection settings do not outlive a transaction; use SET LOCAL within one"};
        }
    }
    result.statement.text = std::move(text);
    return result;
}

} // namespace hyssoprock::sql
