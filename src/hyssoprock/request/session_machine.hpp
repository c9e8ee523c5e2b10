#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/request/host_tables.hpp>
#include <hyssoprock/request/request_machine.hpp>
#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/request/session_state.hpp>
#include <hyssoprock/routing/router.hpp>
#include <hyssoprock/routing/schema_choice.hpp>
#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/session/session_floor.hpp>
#include <hyssoprock/session/token_codec.hpp>

/// @file
/// @brief State machine of one caller connection: requests, transactions, floor and outcomes.

namespace hyssoprock {

/// @brief Settings of a session machine; defaults as in schema/settings.toml.
struct SessionMachineSettings
{
    Duration queueDeadline = std::chrono::milliseconds{1000};     ///< limits.queue_deadline_ms
    Duration electionDeadline = std::chrono::milliseconds{8000};  ///< limits.election_deadline_ms
    Duration majorityTimeout = std::chrono::milliseconds{2000};   ///< request.majority_timeout_ms
    Duration statementTimeout = std::chrono::milliseconds{10000}; ///< request.statement_timeout_ms
    Duration settleTimeout =
        std::chrono::milliseconds{10000}; ///< Maximum duration of a request id look-up.
    /// Time after the expiry of the lease during which requests wait for a new one. A change of the
    /// control leader takes about 1 s; after the grace period the host is considered cut off from
    /// the control group and requests are refused at once.
    Duration leaseGracePeriod = std::chrono::milliseconds{3000};
    Duration initialRetryDelay =
        std::chrono::milliseconds{10}; ///< First delay of the exponential backoff.
    /// Whether endpoints close all connections when they are fenced, and so never run a request
    /// that was sent in an earlier term. Otherwise an endpoint may still read and run a request at
    /// any time after this host closed the connection without an answer.
    bool fencingClosesConnections = false;
    std::uint32_t readAttemptsMax = 6; ///< Maximum number of attempts of one read.
    bool logDecisions = true;          ///< log.decisions
};

/// @brief State machine of one caller connection.
///
/// Usage by the daemon: create the machine after the startup message, call applyStartupOption() for
/// each `hyssoprock.*` option, then call handle() for each event and execute the returned actions
/// in order. Only one CallerStatement is allowed at a time; the next one follows AnswerCaller. Send
/// Tick at nextDeadline(), ViewChanged after each accepted view, lease or configuration, and
/// AckResolved for each entry of HostTables::acks.takeResolved() with the id of this session (other
/// sessions receive theirs after the lock is released). Send CallerDisconnected at the end of the
/// connection; the machine then releases its resources.
class SessionMachine
{
public:
    /// @param settings Settings.
    /// @param session Session id, unique within the process.
    /// @param group Name of the group: the database name of the startup message.
    /// @param tables Shared tables of the host; must outlive the machine.
    /// @param tokens Codec of session tokens; must outlive the machine.
    /// @param seed Random seed for the jitter of retries.
    SessionMachine(SessionMachineSettings settings, std::uint64_t session, std::string group,
                   HostTables &tables, const TokenCodec &tokens, std::uint64_t seed);

    /// @brief Applies a startup option.
    /// @param name Name without "hyssoprock."; unknown names are ignored.
    /// @param value Value.
    /// @return ErrorKind::InvalidToken or InvalidAttribute for an invalid value.
    [[nodiscard]] Result<bool> applyStartupOption(std::string_view name, std::string_view value);

    /// @brief Handles an event.
    /// @return Actions to execute in order.
    [[nodiscard]] SessionActions handle(const SessionEvent &event, Instant now);

    /// @brief Time of the next Tick.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Lowest positions that reads of the session must reach.
    [[nodiscard]] const SessionFloor &floor() const noexcept { return floor_; }

    /// @brief Transaction status reported to the caller.
    [[nodiscard]] TransactionState transactionStatus() const noexcept;

    /// @brief Whether a statement of the caller is unanswered.
    [[nodiscard]] bool isBusy() const noexcept { return request_ != nullptr; }

    /// @brief Id of the session.
    [[nodiscard]] std::uint64_t session() const noexcept { return session_; }

    ~SessionMachine();
    SessionMachine(const SessionMachine &) = delete;
    SessionMachine &operator=(const SessionMachine &) = delete;

private:
    struct Request;

    void handle(const CallerStatement &event);
    void handle(const CallerDisconnected &event);
    void handle(const CallerCancelled &event);
    void handle(const ConnectionGranted &event);
    void handle(const ConnectionRefused &event);
    void handle(const EndpointAnswer &event);
    void handle(const AnswerPart &event);
    void handle(const ConnectionLost &event);
    void handle(const ViewChanged &event);
    void handle(const AckResolved &event);
    void handle(const HostLeaving &event);
    void handle(const Tick &event);

    // session_machine.cpp: statements of the caller
    void runSessionCommand(const SessionCommand &command);
    [[nodiscard]] Result<bool> setOption(std::string_view name, std::string_view value);
    void answerLostTransaction(StatementKind statement);
    [[nodiscard]] Error prepareRequest(const CallerStatement &event);
    [[nodiscard]] Error prepareRequestId();
    void prepareRequirements();
    void advance();

    // session_dispatch.cpp: from the queue to a connection
    void dispatch();
    void dispatchInTransaction();
    void applyDecision(const RoutingDecision &decision);
    [[nodiscard]] bool isTargetUsable() const;
    [[nodiscard]] Error chooseVersions(bool primary, const std::string &endpoint);
    void send();
    void sendOnLink(RequestCommand command);
    void releaseLink(bool reusable);
    void cancelAcquire();
    [[nodiscard]] Instant queueLimit() const;
    [[nodiscard]] bool isCutOff() const;
    void logDecision(std::string_view what, std::string_view reason);

    // session_answers.cpp: answers from endpoints
    void handleSuccess(const EndpointAnswer &answer);
    void handleError(const EndpointAnswer &answer);
    void updateTransaction(const EndpointAnswer &answer);
    [[nodiscard]] bool isAtomic() const noexcept;
    enum class Delivery : std::uint8_t { Deliver, Wait, Discard };
    [[nodiscard]] Delivery checkDelivery(const EndpointReport &report);
    [[nodiscard]] ErrorKind discardKind() const noexcept;
    void evaluateAnswer();
    void forwardRows();
    void waitForMajority(const LogPosition &position, std::string endpoint, bool fromPrimary,
                         Instant deadline);
    void cancelMajorityWait();
    void withholdAnswer();

    // session_outcomes.cpp: failures and completion of a request
    void fail(ErrorKind kind, std::string_view detail, bool mayRetry);
    void retry(bool provenNotRun, bool excludeEndpoint);
    void loseTransaction(ErrorKind kind, bool reported);
    void answerNotRun(ErrorKind kind, std::string_view detail, bool provenNotRun);
    void answerUnknown(std::string_view detail);
    void startSettling();
    void settle();
    void handleLookUp(const EndpointAnswer &answer);
    [[nodiscard]] bool missingIdIsConclusive(std::uint64_t term, const std::string &endpoint) const;
    void evaluateLookUp();
    void finish(std::vector<StatementResult> results, std::optional<SqlError> error);
    void reportToken();
    [[nodiscard]] Duration backoff();

    SessionMachineSettings settings_;
    std::uint64_t session_;
    std::string group_;
    HostTables &tables_;
    const TokenCodec &tokens_;
    RandomSource random_;

    RequestAttributes defaults_;
    SessionFloor floor_;
    SessionFloor reportedFloor_;
    std::optional<internal::EndpointLink> link_;
    std::optional<internal::CallerTransaction> transaction_;
    std::unique_ptr<Request> request_;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t nextAcquire_ = 1;
    std::uint64_t nextSend_ = 1;
    bool leaving_ = false;
    bool closed_ = false;

    Instant now_{};          ///< Time of the event being handled.
    SessionActions actions_; ///< Actions of the event being handled.
};

} // namespace hyssoprock
