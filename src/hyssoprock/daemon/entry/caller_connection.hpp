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
/// @brief Connects one caller's stream, its session machine and the endpoint connections it holds.

namespace hyssoprock {

/// @brief One caller. Used on one I/O thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// @brief Takes an accepted socket.
    /// @param host Host; outlives this object.
    /// @param session Number of the session, unique within the process.
    /// @param socket The socket.
    CallerConnection(CallerHost &host, std::uint64_t session, boost::asio::ip::tcp::socket socket);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    ~CallerConnection();

    /// @brief Begins to read the startup message.
    void start();

    /// @brief Tells the session machine something.
    /// @param event The event.
    void handle(const SessionEvent &event);

    /// @brief Whether a change of view concerns the session now.
    [[nodiscard]] bool isAffectedByViews() const;

    /// @brief Secret of CancelRequest; the process id is the session's number.
    [[nodiscard]] std::uint32_t secretKey() const noexcept { return secretKey_; }

    /// @brief Ends the session between requests, or at once if it has not started.
    void leave();

    /// @brief Closes at once; endpoints roll open transactions back.
    void close();

private:
    /// An endpoint connection of this session.
    struct Held
    {
        HeldConnection pooled;
        std::shared_ptr<EndpointPool> pool;
        std::string endpoint;
    };
    /// A wait for a connection.
    struct Wait
    {
        std::shared_ptr<EndpointPool> pool;
        std::uint64_t number;
    };

    // Messages of the caller: caller_messages.cpp.
    void take(pgwire::FrontendMessage message);
    void startup(const pgwire::StartupMessage &message);
    [[nodiscard]] Result<void> applyOptions(const pgwire::StartupMessage &message);
    [[nodiscard]] Result<void> applyOption(std::string_view name, std::string_view value);
    void greet();
    void query(std::string sql);
    void refuseExtended();
    void refuse(const Error &error);
    void end(const Error &error);

    // Actions of the session machine: caller_connection.cpp.
    void carryOut(const SessionAction &action);
    void carryOut(const AcquireConnection &action);
    void carryOut(const CancelAcquire &action);
    void carryOut(const SendCommand &action);
    void carryOut(const ReleaseConnection &action);
    void carryOut(const AnswerCaller &action);
    void carryOut(const ForwardRows &action);
    void carryOut(const ContinueReading &action);
    void carryOut(const ReportToken &action);
    void carryOut(const LogLine &action);
    void carryOut(const CloseCaller &action);
    void granted(AcquireId acquire, const std::string &endpoint,
                 const std::shared_ptr<EndpointPool> &pool, const HeldConnection &pooled);
    void refused(AcquireId acquire, const Error &error);
    void answered(ConnectionId connection, SendId send, const ExpectedAnswer &expected,
                  Result<PgAnswer> result);
    void lost(ConnectionId connection);
    void part(ConnectionId connection, SendId send, const ExpectedAnswer &expected,
              std::uint32_t statement, PgStatement rows);
    void count(const AnswerCaller &answer);
    void reportServer();
    [[nodiscard]] bool servedByPrimary() const;
    void flush();
    void touch();

    CallerHost &host_;
    std::uint64_t session_;
    std::uint32_t secretKey_;
    std::shared_ptr<CallerStream> stream_;
    std::unique_ptr<SessionMachine> machine_{};
    AnswerWriter writer_{};
    std::string user_{};
    std::string group_{};
    std::map<ConnectionId, Held> held_{};
    std::map<AcquireId, Wait> waits_{};
    std::map<AcquireId, ConnectionPurpose> purposes_{};
    std::string servedBy_{};       ///< Endpoint that answered last.
    std::string reportedServer_{}; ///< Endpoint and role that the caller was told last.
    bool lastWasRead_ = false;     ///< Purpose of the connection that answered last.
    bool skipUntilSync_ = false;   ///< An extended query message was refused.
    Instant requestSince_{};
    DeadlineTimer timer_;
    DeadlineTimer idleTimer_;
    bool closed_ = false;
};

} // namespace hyssoprock
