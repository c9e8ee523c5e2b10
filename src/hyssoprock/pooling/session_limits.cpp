#include <hyssoprock/pooling/session_limits.hpp>

namespace hyssoprock {

namespace {

// Node of a std::map with two strings, and the headers of three allocations.
constexpr std::size_t entryOverheadBytes = 160;

std::size_t entryBytes(std::string_view name, std::string_view value)
{
    return entryOverheadBytes + name.size() + value.size();
}

} // namespace

std::size_t valueBytesAfter(const SessionValues &values, std::size_t bytes,
                            const Statement &statement)
{
    if (statement.kind == StatementKind::SetVariable) {
        const auto found = values.variables.find(statement.name);
        const auto former =
            found == values.variables.end() ? 0 : entryBytes(found->first, found->second);
        return bytes - former + entryBytes(statement.name, statement.argument);
    }
    const auto found = values.prepared.find(statement.name);
    const auto former =
        found == values.prepared.end() ? 0 : entryBytes(found->first, found->second.shape);
    return bytes - former
           + (statement.kind == StatementKind::Prepare ? entryBytes(statement.name, statement.shape)
                                                       : 0);
}

std::optional<std::string_view> exceededLimit(const SessionLimits &limits,
                                              const SessionValues &values, std::size_t bytesAfter,
                                              const Statement &statement)
{
    if (statement.kind == StatementKind::Deallocate) {
        return std::nullopt;
    }
    if (statement.kind == StatementKind::SetVariable) {
        if (values.variables.size() >= limits.variables
            && !values.variables.contains(statement.name)) {
            return "the session has too many variables";
        }
    } else if (values.prepared.size() >= limits.preparedNames
               && !values.prepared.contains(statement.name)) {
        return "the session has too many prepared statements";
    }
    if (bytesAfter > limits.valueBytes) {
        return "the variables and prepared statements of the session are too large";
    }
    return std::nullopt;
}

} // namespace hyssoprock
