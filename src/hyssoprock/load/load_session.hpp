#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/load/workload.hpp>

/// @file
/// @brief Session of the load generator that switches between entry hosts.

namespace hyssoprock::load {

/// @brief Result of an operation.
struct OperationResult
{
    RequestRecord record; ///< Record for the history checker.
    Operation operation;  ///< Operation that was executed.
    std::string servedBy; ///< Reads: hyssoprock.served_by; empty if not reported.
    std::string error;    ///< SQLSTATE and message; empty if there was no error.
};

/// @brief Current time of the steady clock.
[[nodiscard]] Instant clockNow();

/// @brief Builds a libpq connection string.
/// @param entryAddress IP:port of an entry host.
/// @param group Database group, used as the database name.
/// @param user User name.
[[nodiscard]] std::string connectionString(const std::string &entryAddress,
                                           const std::string &group, const std::string &user);

/// @brief Executes one operation at a time on its own connection.
class LoadSession : public std::enable_shared_from_this<LoadSession>
{
public:
    /// @param context Runs the callbacks; must outlive the session.
    /// @param settings Settings of the run; must outlive the session.
    /// @param number Number of the session; selects its group and first entry host.
    /// @param prefix Prefix of the session name, distinct for each kind of session.
    LoadSession(boost::asio::io_context &context, const LoadSettings &settings,
                std::uint32_t number, std::string prefix);

    /// @brief Starts an operation. The session must not be busy.
    /// @param operation Operation to execute.
    /// @param done Receives the result; not called after abandon().
    void execute(const Operation &operation, std::function<void(OperationResult)> done);

    [[nodiscard]] bool isBusy() const noexcept { return static_cast<bool>(done_); }
    [[nodiscard]] const std::string &group() const noexcept { return group_; }
    /// @brief Name of a session with the same prefix, stored as the writer of its rows.
    [[nodiscard]] std::string sessionName(std::uint32_t number) const;

    void close();
    /// @brief Abandons the current operation and closes the connection. The session must be busy.
    /// @return Record of the operation, with an unknown outcome.
    [[nodiscard]] RequestRecord abandon();

private:
    using ResultHandler = void (LoadSession::*)(const QueryResult &);

    void connect();
    void handleConnect(const std::string &error);
    void sendRequest();
    void sendQuery(const std::string &text, ResultHandler handler);
    void handleTokenSet(const QueryResult &result);
    void handleResult(const QueryResult &result);
    void handleTransactionStatement(const QueryResult &result);
    void handleCommit(const QueryResult &result);
    void handleRollback(const QueryResult &result);
    void makeRows();
    void recordError(const QueryResult &result);
    void finish(Outcome outcome);
    [[nodiscard]] std::vector<std::string> buildTransactionStatements() const;

    boost::asio::io_context &context_;
    const LoadSettings &settings_;
    std::uint32_t number_;
    std::string prefix_;
    std::string group_;
    std::string user_;
    std::size_t entryIndex_;
    std::string token_;
    std::shared_ptr<PgConnection> connection_;
    std::function<void(OperationResult)> done_;
    OperationResult result_;
    std::vector<std::string> transactionStatements_; ///< Statements of the current transaction.
    std::size_t nextStatementIndex_ = 0;
    std::uint64_t sequence_ = 0;
    Instant connectDeadline_{};
    bool firstConnect_ = true;
};

} // namespace hyssoprock::load
