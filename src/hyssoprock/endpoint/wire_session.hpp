#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/sql_session.hpp>
#include <hyssoprock/pgwire/backend_encoder.hpp>
#include <hyssoprock/pgwire/frontend_message.hpp>

/// @file
/// @brief PostgreSQL protocol session of the stand-in.

namespace hyssoprock::endpoint {

/// @brief Answers the messages of one connection. Performs no I/O and reads no clock.
class WireSession
{
public:
    /// @brief Next action of the connection.
    enum class Step : std::uint8_t {
        Done,    ///< Send the output and handle the next message.
        Blocked, ///< Wait for a table lock: call resume() after a transaction has ended, or
                 ///< cancel().
        Close,   ///< Send the output and close the connection.
    };

    /// @param instance Endpoint; must outlive the session.
    /// @param processId Unique process id of the session for CancelRequest.
    /// @param secretKey Secret key for CancelRequest.
    WireSession(Instance &instance, std::uint32_t processId, std::uint32_t secretKey);

    /// @brief Handles the next message.
    /// @param message Message; a CancelRequest is addressed to another session and only closes this
    /// one.
    /// @param now Current time.
    [[nodiscard]] Step handle(const pgwire::FrontendMessage &message, Instant now);

    /// @brief Retries a blocked statement.
    [[nodiscard]] Step resume(Instant now);

    /// @brief Fails a blocked statement with an error.
    [[nodiscard]] Step cancel(const pgwire::Notice &reason);

    /// @brief Sends a fatal error, after which the connection must be closed.
    void sendFatalError(const pgwire::Notice &reason) { encoder_.errorResponse(reason); }

    /// @brief Rolls back an open transaction. Must be called when the connection ends.
    void rollback() { sql_.rollback(); }

    /// @brief Whether a message executes statements and therefore needs a slot.
    [[nodiscard]] static bool runsStatements(const pgwire::FrontendMessage &message) noexcept;

    /// @brief Whether the application name identifies a control host or observer.
    [[nodiscard]] static bool isAdministrative(const pgwire::StartupMessage &message) noexcept;

    /// @brief Whether a transaction is open.
    [[nodiscard]] bool inTransaction() const noexcept
    {
        return sql_.status() != pgwire::TransactionStatus::Idle;
    }

    /// @brief Moves the bytes to send out of the session.
    [[nodiscard]] std::string takeOutput() noexcept { return encoder_.take(); }

private:
    struct Portal
    {
        std::optional<Statement> statement; ///< std::nullopt for an empty statement.
        std::vector<Value> values;
        std::optional<StatementResult> result; ///< Set by the first Execute.
        std::size_t sentRowCount = 0;          ///< Number of rows sent so far.
    };

    Step on(const pgwire::StartupMessage &message, Instant now);
    Step on(const pgwire::SslRequest &message, Instant now);
    Step on(const pgwire::GssEncRequest &message, Instant now);
    Step on(const pgwire::CancelRequest &message, Instant now);
    Step on(const pgwire::Query &message, Instant now);
    Step on(const pgwire::Parse &message, Instant now);
    Step on(const pgwire::Bind &message, Instant now);
    Step on(const pgwire::Describe &message, Instant now);
    Step on(const pgwire::Execute &message, Instant now);
    Step on(const pgwire::Close &message, Instant now);
    Step on(const pgwire::Sync &message, Instant now);
    Step on(const pgwire::Flush &message, Instant now);
    Step on(const pgwire::Terminate &message, Instant now);
    Step on(const pgwire::UnsupportedMessage &message, Instant now);

    Step runBatch(Instant now);
    Step runPortal(Instant now);
    Step finishQuery();
    void applyStartup(const pgwire::StartupMessage &message);
    void sendPositions();
    void sendResult(const StatementResult &result);
    void sendPortalRows(Portal &portal, std::uint32_t maxRows);
    void describeStatement(const std::optional<Statement> &statement);
    /// Reports an error in the extended query protocol; messages up to Sync are skipped.
    Step failExtended(const pgwire::Notice &error);
    Step failExtended(std::string state, std::string text);

    Instance &instance_;
    std::uint32_t processId_;
    std::uint32_t secretKey_;
    SqlSession sql_;
    pgwire::BackendEncoder encoder_;
    std::vector<Statement> batch_; ///< Statements of the current simple query.
    std::size_t nextInBatch_ = 0;
    std::map<std::string, std::optional<Statement>> prepared_;
    std::map<std::string, Portal> portals_;
    std::optional<pgwire::Execute> executing_; ///< Set while an Execute is blocked.
    bool skipToSync_ = false;
};

} // namespace hyssoprock::endpoint
