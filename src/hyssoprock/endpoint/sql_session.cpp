#include <hyssoprock/endpoint/sql_session.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <hyssoprock/endpoint/administration.hpp>

namespace hyssoprock::endpoint {

namespace {

constexpr std::string_view versionsSetting = "hyssoprock.schema_versions";
constexpr std::string_view versionColumn = "schema_version";

StatementResult done(std::string tag)
{
    StatementResult result;
    result.tag = std::move(tag);
    return result;
}

StatementResult failed(std::string state, std::string message)
{
    StatementResult result;
    result.error = pgwire::Notice{"ERROR", std::move(state), std::move(message), {}, {}};
    return result;
}

StatementResult failed(const Error &error)
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

pgwire::Column countColumn()
{
    auto column = textColumn("count");
    column.typeOid = static_cast<std::uint32_t>(pgwire::TypeOid::Int8);
    column.typeSize = 8;
    return column;
}

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

/// Whether a list such as "1,2" or "{1, 2}" has an element.
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

/// New value of an assignment; nothing if a sum cannot be formed.
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

SqlSession::SqlSession(Instance &instance, std::uint64_t number)
    : instance_{instance}
    , number_{number}
{}

StatementResult SqlSession::execute(const Statement &statement,
                                    const std::vector<Value> &parameters, Instant now)
{
    if (mode_ == Mode::Failed && !std::holds_alternative<CommitStatement>(statement)
        && !std::holds_alternative<RollbackStatement>(statement)) {
        return failed("25P02",
                      "current transaction is aborted, commands are ignored until its end");
    }
    if (mode_ == Mode::None) {
        mode_ = Mode::Implicit;
    }
    auto result = std::visit([&](const auto &s) { return run(s, parameters, now); }, statement);
    if (result.error) {
        fail();
    }
    return result;
}

void SqlSession::fail()
{
    const bool inBlock = mode_ == Mode::Explicit || mode_ == Mode::Failed;
    endTransaction();
    mode_ = inBlock ? Mode::Failed : Mode::None;
}

void SqlSession::rollback()
{
    endTransaction();
}

void SqlSession::endTransaction()
{
    transaction_ = Transaction{};
    instance_.database.unlockTables(number_);
    mode_ = Mode::None;
}

std::optional<pgwire::Notice> SqlSession::commit()
{
    std::optional<pgwire::Notice> error;
    if (!transaction_.empty()) {
        const auto position = instance_.database.commit(transaction_.take(), transactionTerm_);
        if (position.has_error()) {
            error = pgwire::toNotice(position.error());
        }
    }
    endTransaction();
    return error;
}

std::optional<pgwire::Notice> SqlSession::commitImplicit()
{
    return mode_ == Mode::Implicit ? commit() : std::nullopt;
}

pgwire::TransactionStatus SqlSession::status() const noexcept
{
    switch (mode_) {
    case Mode::Explicit:
        return pgwire::TransactionStatus::InTransaction;
    case Mode::Failed:
        return pgwire::TransactionStatus::Failed;
    case Mode::None:
    case Mode::Implicit:
        break;
    }
    return pgwire::TransactionStatus::Idle;
}

StatementResult SqlSession::run(const BeginStatement & /*statement*/, const Parameters & /*values*/,
                                Instant /*now*/)
{
    mode_ = Mode::Explicit;
    return done("BEGIN");
}

StatementResult SqlSession::run(const CommitStatement & /*statement*/,
                                const Parameters & /*values*/, Instant /*now*/)
{
    if (mode_ == Mode::Failed) {
        endTransaction();
        return done("ROLLBACK");
    }
    auto error = commit();
    if (error) {
        StatementResult result;
        result.error = std::move(error);
        return result;
    }
    return done("COMMIT");
}

StatementResult SqlSession::run(const RollbackStatement & /*statement*/,
                                const Parameters & /*values*/, Instant /*now*/)
{
    endTransaction();
    return done("ROLLBACK");
}

StatementResult SqlSession::run(const SetStatement &statement, const Parameters & /*values*/,
                                Instant /*now*/)
{
    settings_[statement.name] = statement.value;
    return done("SET");
}

StatementResult SqlSession::run(const ShowStatement &statement, const Parameters & /*values*/,
                                Instant /*now*/)
{
    const auto found = settings_.find(statement.name);
    if (found == settings_.end()) {
        return failed("42704", "parameter \"" + statement.name + "\" is not set");
    }
    auto result = done("SHOW");
    result.returnsRows = true;
    result.columns = {textColumn(statement.name)};
    result.rows = {{found->second}};
    return result;
}

std::optional<StatementResult> SqlSession::refuseChange(const std::string *tableToLock)
{
    const auto &replication = instance_.database.replication();
    if (replication.role() != Role::Primary) {
        return failed(
            {ErrorKind::ReadOnlyEndpoint, "role " + std::string{toString(replication.role())}});
    }
    if (tableToLock != nullptr && !instance_.database.lockTable(*tableToLock, number_)) {
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
    if (auto refused = refuseChange(nullptr)) {
        return *refused;
    }
    for (const auto &row : statement.rows) {
        std::vector<ColumnValue> columns;
        for (std::size_t i = 0; i < row.size(); ++i) {
            columns.push_back({statement.columns[i], valueOf(row[i], values)});
        }
        transaction_.insert(statement.table, std::move(columns));
    }
    return done("INSERT 0 " + std::to_string(statement.rows.size()));
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
    auto result = done("SELECT 1");
    result.returnsRows = true;
    result.columns = *describe(statement);
    result.rows = {{valueOf(statement.value, values)}};
    return result;
}

StatementResult SqlSession::run(const UpdateStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    if (auto refused = refuseChange(&statement.table)) {
        return *refused;
    }
    const auto rows = visibleRows(statement.table, statement.conditions, values);
    for (const auto &row : rows) {
        std::vector<ColumnValue> columns;
        for (const auto &assignment : statement.assignments) {
            auto value = assignedValue(assignment, row.row, values);
            if (!value) {
                return failed("22003", "the sum is not an integer in range");
            }
            columns.push_back({assignment.column, std::move(*value)});
        }
        transaction_.update(statement.table, row, std::move(columns));
    }
    return done("UPDATE " + std::to_string(rows.size()));
}

StatementResult SqlSession::run(const DeleteStatement &statement, const Parameters &values,
                                Instant /*now*/)
{
    if (auto refused = refuseChange(&statement.table)) {
        return *refused;
    }
    const auto rows = visibleRows(statement.table, statement.conditions, values);
    for (const auto &row : rows) {
        transaction_.remove(statement.table, row);
    }
    return done("DELETE " + std::to_string(rows.size()));
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
        return failed(row.error());
    }
    auto result = done("SELECT 1");
    result.returnsRows = true;
    for (auto &name : row.value().columns) {
        result.columns.push_back(textColumn(std::move(name)));
    }
    result.rows = {std::move(row.value().values)};
    return result;
}

std::optional<std::vector<pgwire::Column>> SqlSession::describe(const Statement &statement) const
{
    std::vector<pgwire::Column> columns;
    const auto add = [&columns](const std::vector<std::string> &names) {
        for (const auto &name : names) {
            columns.push_back(textColumn(name));
        }
    };
    if (const auto *select = std::get_if<SelectStatement>(&statement)) {
        const auto *table = instance_.database.tables().find(select->table);
        if (select->count) {
            columns.push_back(countColumn());
        } else if (!select->columns.empty()) {
            add(select->columns);
        } else {
            add(transaction_.columns(table, select->table));
        }
    } else if (const auto *show = std::get_if<ShowStatement>(&statement)) {
        add({show->name});
    } else if (std::holds_alternative<SelectValueStatement>(statement)) {
        add({"?column?"});
    } else if (const auto *call = std::get_if<CallStatement>(&statement)) {
        add(administrativeColumns(call->function).value_or(std::vector<std::string>{}));
    } else {
        return std::nullopt;
    }
    return columns;
}

} // namespace hyssoprock::endpoint
