// Statements of SqlSession with operands: those on tables, and calls of administrative functions.

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <hyssoprock/endpoint/administration.hpp>
#include <hyssoprock/endpoint/sql_session.hpp>

namespace hyssoprock::endpoint {

namespace {

constexpr std::string_view versionsSetting = "hyssoprock.schema_versions";
constexpr std::string_view versionColumn = "schema_version";

Value valueOf(const Operand &operand, const std::vector<Value> &parameters)
{
    if (const auto *text = std::get_if<std::string>(&operand)) {
        return *text;
    }
    if (const auto *reference = std::get_if<ParameterReference>(&operand)) {
        return reference->number < parameters.size() ? parameters[reference->number] : std::nullopt;
    }
    return std::nullopt;
}

/// Whether a list such as "1,2" or "{1, 2}" contains an element.
bool listContains(std::string_view list, std::string_view element)
{
    constexpr std::string_view separators = ", {}";
    while (!list.empty()) {
        const auto start = std::min(list.find_first_not_of(separators), list.size());
        list.remove_prefix(start);
        const auto end = std::min(list.find_first_of(separators), list.size());
        if (end > 0 && list.substr(0, end) == element) {
            return true;
        }
        list.remove_prefix(end);
    }
    return false;
}

std::optional<std::int64_t> integerOf(const Value &value)
{
    if (!value) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const auto *end = value->data() + value->size();
    const auto [stop, error] = std::from_chars(value->data(), end, number);
    return error == std::errc{} && stop == end ? std::optional{number} : std::nullopt;
}

/// New value of an assignment; std::nullopt if an operand is not an integer or the sum overflows.
std::optional<Value> assignedValue(const Assignment &assignment, const Row &row,
                                   const std::vector<Value> &parameters)
{
    auto value = valueOf(assignment.operand, parameters);
    if (!assignment.add) {
        return value;
    }
    const auto present = integerOf(endpoint::valueOf(row, assignment.column));
    const auto summand = integerOf(value);
    std::int64_t sum = 0;
    if (!present || !summand
        || (assignment.negate ? __builtin_sub_overflow(*present, *summand, &sum)
                              : __builtin_add_overflow(*present, *summand, &sum))) {
        return std::nullopt;
    }
    return std::to_string(sum);
}

} // namespace

std::optional<StatementResult> SqlSession::refuseOrLock(const std::string *tableToLock)
{
    const auto &replication = instance_.database.replication();
    if (replication.role() != Role::Primary) {
        return errorResult(
            {ErrorKind::ReadOnlyEndpoint, "role " + std::string{toString(replication.role())}});
    }
    if (tableToLock != nullptr && !instance_.database.lockTable(*tableToLock, sessionId_)) {
        StatementResult result;
        result.blocked = true;
        return result;
    }
    if (transaction_.empty()) {
        transactionTerm_ = replication.term();
    }
    return std::nullopt;
}

StatementResult SqlSession::run(const InsertStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    if (auto refused = refuseOrLock(nullptr)) {
        return *refused;
    }
    for (const auto &row : statement.rows) {
        std::vector<ColumnValue> columns;
        for (std::size_t i = 0; i < row.size(); ++i) {
            columns.push_back({statement.columns[i], valueOf(row[i], values)});
        }
        transaction_.insert(statement.table, std::move(columns));
    }
    return successResult("INSERT 0 " + std::to_string(statement.rows.size()));
}

std::vector<Transaction::VisibleRow>
SqlSession::visibleRows(const std::string &table, const std::vector<Condition> &conditions,
                        const Parameters &parameters) const
{
    std::vector<Match> matches;
    matches.reserve(conditions.size());
    for (const auto &condition : conditions) {
        matches.push_back({condition.column, valueOf(condition.operand, parameters)});
    }
    auto rows = transaction_.find(instance_.database.tables(), table, matches);
    const auto versions = settings_.find(std::string{versionsSetting});
    if (versions != settings_.end() && !versions->second.empty()) {
        std::erase_if(rows, [&](const Transaction::VisibleRow &row) {
            const auto version = endpoint::valueOf(row.row, versionColumn);
            return version && !listContains(versions->second, *version);
        });
    }
    return rows;
}

StatementResult SqlSession::run(const SelectStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    const auto rows = visibleRows(statement.table, statement.conditions, values);
    StatementResult result;
    result.returnsRows = true;
    result.columns = *describe(statement);
    if (statement.count) {
        result.rows = {{std::to_string(rows.size())}};
    } else {
        for (const auto &row : rows) {
            auto &out = result.rows.emplace_back();
            for (const auto &column : result.columns) {
                out.push_back(endpoint::valueOf(row.row, column.name));
            }
        }
    }
    result.tag = "SELECT " + std::to_string(result.rows.size());
    return result;
}

StatementResult SqlSession::run(const SelectValueStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    auto result = successResult("SELECT 1");
    result.returnsRows = true;
    result.columns = *describe(statement);
    result.rows = {{valueOf(statement.value, values)}};
    return result;
}

StatementResult SqlSession::run(const UpdateStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    if (auto refused = refuseOrLock(&statement.table)) {
        return *refused;
    }
    const auto rows = visibleRows(statement.table, statement.conditions, values);
    for (const auto &row : rows) {
        std::vector<ColumnValue> columns;
        for (const auto &assignment : statement.assignments) {
            auto value = assignedValue(assignment, row.row, values);
            if (!value) {
                return errorResult("22003", "the sum is not an integer in range");
            }
            columns.push_back({assignment.column, std::move(*value)});
        }
        transaction_.update(statement.table, row, std::move(columns));
    }
    return successResult("UPDATE " + std::to_string(rows.size()));
}

StatementResult SqlSession::run(const DeleteStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    if (auto refused = refuseOrLock(&statement.table)) {
        return *refused;
    }
    const auto rows = visibleRows(statement.table, statement.conditions, values);
    for (const auto &row : rows) {
        transaction_.remove(statement.table, row);
    }
    return successResult("DELETE " + std::to_string(rows.size()));
}

StatementResult SqlSession::run(const CallStatement &statement, const Parameters &values,
                                Instant now)
{
    std::vector<Value> arguments;
    for (const auto &argument : statement.arguments) {
        arguments.push_back(valueOf(argument, values));
    }
    auto row = callAdministrative(instance_, statement.function, arguments, now);
    if (row.has_error()) {
        return errorResult(row.error());
    }
    auto result = successResult("SELECT 1");
    result.returnsRows = true;
    for (auto &name : row.value().columns) {
        result.columns.push_back(textColumn(std::move(name)));
    }
    result.rows = {std::move(row.value().values)};
    return result;
}

} // namespace hyssoprock::endpoint
