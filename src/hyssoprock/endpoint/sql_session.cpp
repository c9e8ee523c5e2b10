#include <hyssoprock/endpoint/sql_session.hpp>

#include <utility>

#include <hyssoprock/endpoint/administration.hpp>

namespace hyssoprock::endpoint {

namespace {

pgwire::Column countColumn()
{
    auto column = textColumn("count");
    column.typeOid = static_cast<std::uint32_t>(pgwire::TypeOid::Int8);
    column.typeSize = 8;
    return column;
}

} // namespace

SqlSession::SqlSession(Instance &instance, std::uint64_t number)
    : instance_{instance}
    , sessionId_{number}
{}

StatementResult SqlSession::execute(const Statement &statement,
                                    const std::vector<Value> &parameters, Instant now)
{
    if (mode_ == Mode::Failed && !std::holds_alternative<CommitStatement>(statement)
        && !std::holds_alternative<RollbackStatement>(statement)) {
        return errorResult("25P02",
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
    instance_.database.unlockTables(sessionId_);
    mode_ = Mode::None;
}

std::optional<pgwire::Notice> SqlSession::commit()
{
    std::optional<pgwire::Notice> error;
    if (!transaction_.empty()) {
        const auto position =
            instance_.database.commit(transaction_.takeChanges(), transactionTerm_);
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
    return successResult("BEGIN");
}

StatementResult SqlSession::run(const CommitStatement & /*statement*/,
                                const Parameters & /*values*/, Instant /*now*/)
{
    if (mode_ == Mode::Failed) {
        endTransaction();
        return successResult("ROLLBACK");
    }
    auto error = commit();
    if (error) {
        StatementResult result;
        result.error = std::move(error);
        return result;
    }
    return successResult("COMMIT");
}

StatementResult SqlSession::run(const RollbackStatement & /*statement*/,
                                const Parameters & /*values*/, Instant /*now*/)
{
    endTransaction();
    return successResult("ROLLBACK");
}

StatementResult SqlSession::run(const SetStatement &statement, const Parameters & /*values*/,
                                Instant /*now*/)
{
    settings_[statement.name] = statement.value;
    return successResult("SET");
}

StatementResult SqlSession::run(const ShowStatement &statement, const Parameters & /*values*/,
                                Instant /*now*/)
{
    const auto found = settings_.find(statement.name);
    if (found == settings_.end()) {
        return errorResult("42704", "parameter \"" + statement.name + "\" is not set");
    }
    auto result = successResult("SHOW");
    result.returnsRows = true;
    result.columns = {textColumn(statement.name)};
    result.rows = {{found->second}};
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
