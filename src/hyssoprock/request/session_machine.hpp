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
/// @brief One caller connection: requests, transactions, floor and outcomes.

namespace hyssoprock {

/// @brief Settings of a session machine; defaults as in schema/settings.toml.
struct SessionMachineSettings
{
    Duration queueDeadline = std::chrono::milliseconds{1000};     ///< limits.queue_deadline_ms
    Duration electionDeadline = std::chrono::milliseconds{8000};  ///< limits.election_deadline_ms
    Duration majorityTimeout = std::chrono::milliseconds{2000};   ///< request.majority_timeout_ms
    Duration statementTimeout = std::chrono::milliseconds{10000}; ///< request.statement_timeout_ms
    Duration settleTimeout = std::chrono::milliseconds{10000};    ///< Longest settling.
    /// Time after the end of the lease in which requests wait for a new one: a change of the
    /// control leader takes about 1 s. Later the host is cut off, and waiting only delays the
    /// refusal.
    Duration leaseGracePeriod = std::chrono::milliseconds{3000};
    Duration initialRetryDelay = std::chrono::milliseconds{10}; ///< First backoff, jittered.
    /// Endpoints run nothing that was sent on a connection of an earlier term, because they close
    /// their callers' connections when they are fenced. Without this, a request that got no answer
    /// and whose connection this host closed may still be read by its endpoint at any time.
    bool fencingClosesConnections = false;
    std::uint32_t readAttemptsMax = 6; ///< Sends of one read at most.
    bool logDecisions = true;          ///< log.decisions
};

/// @brief Session machine of one caller connection.
///
/// How the daemon uses it: create one after the startup packet, call applyStartupOption() for each
/// `hyssoprock.*` option, then handle() for each event and carry out the actions in order. One
/// CallerStatement at a time: the next follows AnswerCaller. Send Tick at nextDeadline(),
/// ViewChanged after each accepted view, lease or configuration, and AckResolved for each entry of
/// HostTables::acks.takeResolved() with this session's id (sessions other than the present one
/// get theirs after the lock is released). At the end of a connection send CallerDisconnected; the
/// machine then releases what it holds.
class SessionMachine
{
public:
    /// @brief Makes a session for a group.
    /// @param settings Settings.
    /// @param session Id of the session, unique within the process.
    /// @param group Group: the database name of the startup packet.
    /// @param tables Shared tables of the host; outlive the machine.
    /// @param tokens Codec; outlives the machine.
    /// @param seed Seed for the jitter of retries.
    SessionMachine(SessionMachineSettings settings, std::uint64_t session, std::string group,
                   HostTables &tables, const TokenCodec &tokens, std::uint64_t seed);

    /// @brief Applies a startup option.
    /// @param name Name without "hyssoprock."; unknown ones are ignored.
    /// @param value Value.
    /// @return ErrorKind::InvalidToken or InvalidAttribute for a bad value.
    [[nodiscard]] Result<bool> applyStartupOption(std::string_view name, std::string_view value);

    /// @brief Handles an event.
    [[nodiscard]] SessionActions handle(const SessionEvent &event, Instant now);

    /// @brief When a Tick is due at the latest.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief What the session has seen.
    [[nodiscard]] const SessionFloor &floor() const noexcept { return floor_; }

    /// @brief Transaction status as the caller sees it.
    [[nodiscard]] TransactionState transactionStatus() const noexcept;

    /// @brief Whether a statement of the caller has not been answered yet.
    [[nodiscard]] bool busy() const noexcept { return request_ != nullptr; }

    /// @brief Id of the session.
    [[nodiscard]] std::uint64_t session() const noexcept { return session_; }

    ~SessionMachine();
    SessionMachine(const SessionMachine &) = delete;
    SessionMachine &operator=(const SessionMachine &) = delete;

private:
    struct Request;

    void onEvent(const CallerStatement &event);
    void onEvent(const CallerDisconnected &event);
    void onEvent(const CallerCancelled &event);
    void onEvent(const ConnectionGranted &event);
    void onEvent(const ConnectionRefused &event);
    void onEvent(const EndpointAnswer &event);
    void onEvent(const AnswerPart &event);
    void onEvent(const ConnectionLost &event);
    void onEvent(const ViewChanged &event);
    void onEvent(const AckResolved &event);
    void onEvent(const HostLeaving &event);
    void onEvent(const Tick &event);

    // session_machine.cpp: statements of the caller
    void runSessionCommand(const SessionCommand &command);
    [[nodiscard]] Result<bool> setOption(std::string_view name, std::string_view value);
    void answerLostTransaction(StatementKind statement);
    [[nodiscard]] Error prepareRequest(const CallerStatement &event);
    [[nodiscard]] Error prepareRequestId();
    void prepareRequirements();
    void progress();

    // session_dispatch.cpp: from the queue to a connection
    void dispatch();
    void dispatchInTransaction();
    void followDecision(const RoutingDecision &decision);
    [[nodiscard]] bool stillUsable() const;
    [[nodiscard]] Error chooseVersions(bool primary, const std::string &endpoint);
    void send();
    void sendOnLink(RequestCommand command);
    void releaseLink(bool reusable);
    void cancelAcquire();
    [[nodiscard]] Instant queueLimit() const;
    [[nodiscard]] bool cutOff() const;
    void logDecision(std::string_view what, std::string_view reason);

    // session_answers.cpp: answers of endpoints
    void handleSuccess(const EndpointAnswer &answer);
    void handleError(const EndpointAnswer &answer);
    void updateTransaction(const EndpointAnswer &answer);
    [[nodiscard]] bool isAtomic() const noexcept;
    enum class Gate : std::uint8_t { Pass, Wait, Discard };
    [[nodiscard]] Gate gate(const EndpointReport &report);
    [[nodiscard]] ErrorKind discardKind() const noexcept;
    void evaluate();
    void forwardParts();
    void watch(const LogPosition &position, std::string endpoint, bool fromPrimary,
               Instant deadline);
    void unwatch();
    void withhold();

    // session_outcomes.cpp: failures and the end of a request
    void fail(ErrorKind kind, std::string_view detail, bool mayRetry);
    void retry(bool proof, bool excludeEndpoint);
    void loseTransaction(ErrorKind kind, bool reported);
    void answerNotRun(ErrorKind kind, std::string_view detail, bool proof);
    void answerUnknown(std::string_view detail);
    void startSettling();
    void settle();
    void handleLookUp(const EndpointAnswer &answer);
    [[nodiscard]] bool missingIdIsConclusive(std::uint64_t term, const std::string &endpoint) const;
    void judgeLookUp();
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
