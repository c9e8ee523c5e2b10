#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/instance.hpp>
#include <hyssoprock/endpoint/statement.hpp>
#include <hyssoprock/endpoint/statement_result.hpp>
#include <hyssoprock/endpoint/transaction.hpp>
#include <hyssoprock/pgwire/backend_encoder.hpp>

/// @file
/// @brief Statement execution of one session.

namespace hyssoprock::endpoint {

/// @brief Settings and transaction of one session.
///
/// Statements outside BEGIN and COMMIT belong to an implicit transaction that commitImplicit()
/// ends. Reads see the rows that are committed when the statement runs and the transaction's own
/// changes. Updates and deletes lock their table until the transaction ends; inserts take no lock.
class SqlSession
{
public:
    /// @param instance Endpoint; must outlive the session.
    /// @param number Unique number of the session.
    SqlSession(Instance &instance, std::uint64_t number);
    SqlSession(const SqlSession &) = delete;
    SqlSession &operator=(const SqlSession &) = delete;

    /// @brief Executes one statement.
    /// @param statement Parsed statement.
    /// @param parameters Values of $1, $2 and so on.
    /// @param now Current time.
    [[nodiscard]] StatementResult execute(const Statement &statement,
                                          const std::vector<Value> &parameters, Instant now);

    /// @brief Commits the implicit transaction, if there is one.
    /// @return Error if the transaction was rolled back; std::nullopt on success.
    [[nodiscard]] std::optional<pgwire::Notice> commitImplicit();

    /// @brief Rolls back an open transaction. Must be called when the session ends.
    void rollback();

    /// @brief Fails the transaction after an error outside execute(), such as a syntax error or a
    /// lock timeout.
    void fail();

    /// @brief Sets a session parameter.
    void set(const std::string &name, const std::string &value) { settings_[name] = value; }

    /// @brief Result columns of a statement.
    /// @return std::nullopt if the statement returns no rows.
    [[nodiscard]] std::optional<std::vector<pgwire::Column>>
    describe(const Statement &statement) const;

    /// @brief Transaction status for ReadyForQuery.
    [[nodiscard]] pgwire::TransactionStatus status() const noexcept;

private:
    enum class Mode : std::uint8_t { None, Implicit, Explicit, Failed };

    using Parameters = std::vector<Value>;

    StatementResult run(const BeginStatement &, const Parameters &, Instant);
    StatementResult run(const CommitStatement &, const Parameters &, Instant);
    StatementResult run(const RollbackStatement &, const Parameters &, Instant);
    StatementResult run(const SetStatement &, const Parameters &, Instant);
    StatementResult run(const ShowStatement &, const Parameters &, Instant);
    StatementResult run(const InsertStatement &, const Parameters &, Instant);
    StatementResult run(const SelectStatement &, const Parameters &, Instant);
    StatementResult run(const SelectValueStatement &, const Parameters &, Instant);
    StatementResult run(const UpdateStatement &, const Parameters &, Instant);
    StatementResult run(const DeleteStatement &, const Parameters &, Instant);
    StatementResult run(const CallStatement &, const Parameters &, Instant);

    /// Rows that match the conditions and the schema version filter.
    [[nodiscard]] std::vector<Transaction::VisibleRow>
    visibleRows(const std::string &table, const std::vector<Condition> &conditions,
                const Parameters &parameters) const;
    /// Result of a change that cannot run: an error on a replica or fenced primary, or a blocked
    /// result if another session has locked the table.
    [[nodiscard]] std::optional<StatementResult> refuseOrLock(const std::string *tableToLock);
    [[nodiscard]] std::optional<pgwire::Notice> commit();
    void endTransaction();

    Instance &instance_;
    std::uint64_t sessionId_;
    Mode mode_ = Mode::None;
    Transaction transaction_;
    std::uint64_t transactionTerm_ = 0;
    std::map<std::string, std::string> settings_;
};

} // namespace hyssoprock::endpoint
