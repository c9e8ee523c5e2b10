#include <hyssoprock/endpoint/statement_result.hpp>

#include <utility>

namespace hyssoprock::endpoint {

StatementResult successResult(std::string tag)
{
    StatementResult result;
    result.tag = std::move(tag);
    return result;
}

StatementResult errorResult(std::string state, std::string message)
{
    StatementResult result;
    result.error = pgwire::Notice{"ERROR", std::move(state), std::move(message), {}, {}};
    return result;
}

StatementResult errorResult(const Error &error)
{
    StatementResult result;
    result.error = pgwire::toNotice(error);
    return result;
}

pgwire::Column textColumn(std::string name)
{
    pgwire::Column column;
    column.name = std::move(name);
    return column;
}

} // namespace hyssoprock::endpoint
