#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/daemon/entry/answer_writer.hpp>
#include <hyssoprock/daemon/entry/caller_host.hpp>
#include <hyssoprock/daemon/entry/caller_stream.hpp>
#include <hyssoprock/request/session_machine.hpp>

/// @file
/// @brief Connects the stream of a caller, its session machine and its endpoint connections.

namespace hyssoprock {

/// @brief Connection of one caller. Must be used on one I/O thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// @param host Entry host; must outlive this object.
    /// @param session Session id, unique within the process.
    /// @param socket Accepted socket.
    CallerConnection(CallerHost &host, std::uint64_t session, boost::asio::ip::tcp::socket socket);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    ~CallerConnection();

    /// @brief Starts reading the startup message.
    void start();

    /// @brief Passes an event to the session machine and executes its actions.
    void handle(const SessionEvent &event);

    /// @brief Whether the session has a request or transaction that a change of view can affect.
    [[nodiscard]] bool isAffectedByViews() const;

    /// @brief Secret key for CancelRequest; the process id is the session id.
    [[nodiscard]] std::uint32_t secretKey() const noexcept { return secretKey_; }

    /// @brief Ends the session after the current request or transaction, or at once before startup.
    void leave();

    /// @brief Closes the connection at once; endpoints roll back open transactions.
    void close();

private:
    /// Endpoint connection used by this session.
    struct SessionConnection
    {
        HeldConnection pooled;
        std::shared_ptr<EndpointPool> pool;
        std::string endpoint;
    };
    /// Pending request for a connection.
    struct PendingAcquire
    {
        std::shared_ptr<EndpointPool> pool;
        std::uint64_t number;
    };

    // caller_messages.cpp: messages of the caller
    void handleMessage(pgwire::FrontendMessage message);
    void handleStartup(const pgwire::StartupMessage &message);
    [[nodiscard]] Result<void> applyOptions(const pgwire::StartupMessage &message);
    [[nodiscard]] Result<void> applyOption(std::string_view name, std::string_view value);
    void sendStartupResponse();
    void handleQuery(std::string sql);
    void refuseExtendedQuery();
    void refuse(const Error &error);
    void endSession(const Error &error);

    // caller_connection.cpp: actions of the session machine
    void execute(const SessionAction &action);
    void execute(const AcquireConnection &action);
    void execute(const CancelAcquire &action);
    void execute(const SendCommand &action);
    void execute(const ReleaseConnection &action);
    void execute(const AnswerCaller &action);
    void execute(const ForwardRows &action);
    void execute(const ContinueReading &action);
    void execute(const ReportToken &action);
    void execute(const LogLine &action);
    void execute(const CloseCaller &action);
    void handleGrant(AcquireId acquire, const std::string &endpoint,
                     const std::shared_ptr<EndpointPool> &pool, const HeldConnection &pooled);
    void handleRefusal(AcquireId acquire, const Error &error);
    void handleAnswer(ConnectionId connection, SendId send, const ExpectedAnswer &expected,
                      Result<PgAnswer> result);
    void handleConnectionLoss(ConnectionId connection);
    void handleAnswerPart(ConnectionId connection, SendId send, const ExpectedAnswer &expected,
                          std::uint32_t statement, PgStatementResult rows);
    void recordMetrics(const AnswerCaller &answer);
    void reportEndpoint();
    [[nodiscard]] bool servedByPrimary() const;
    void flush();
    void restartIdleTimer();

    CallerHost &host_;
    std::uint64_t session_;
    std::uint32_t secretKey_;
    std::shared_ptr<CallerStream> stream_;
    std::unique_ptr<SessionMachine> machine_{};
    AnswerWriter writer_{};
    std::string user_{};
    std::string group_{};
    std::map<ConnectionId, SessionConnection> held_{};
    std::map<AcquireId, PendingAcquire> pendingAcquires_{};
    std::map<AcquireId, ConnectionPurpose> purposes_{};
    std::string servedBy_{};         ///< Endpoint of the latest answer.
    std::string reportedEndpoint_{}; ///< Endpoint and role last reported to the caller.
    bool lastWasRead_ = false;       ///< Whether the latest connection was for a read.
    bool skipUntilSync_ = false;     ///< An extended query message was refused.
    Instant requestStartedAt_{};
    DeadlineTimer timer_;
    DeadlineTimer idleTimer_;
    bool closed_ = false;
};

} // namespace hyssoprock
