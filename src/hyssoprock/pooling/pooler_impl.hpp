#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/route_index.hpp>
#include <hyssoprock/limits/retry_budget.hpp>
#include <hyssoprock/pooling/caller_session.hpp>
#include <hyssoprock/pooling/pooled_endpoint.hpp>
#include <hyssoprock/pooling/pooled_service.hpp>
#include <hyssoprock/pooling/pooler.hpp>

/// @file
/// @brief Implementation of Pooler.

namespace hyssoprock {

/// @brief See Pooler.
class Pooler::Impl
{
public:
    Impl(PoolerSettings settings, std::uint64_t seed, Instant now);

    [[nodiscard]] PoolerActions handle(PoolerEvent event, Instant now);
    [[nodiscard]] std::optional<Instant> nextDeadline() const;
    [[nodiscard]] bool ready() const noexcept { return document_ && !shutdown_; }
    [[nodiscard]] PoolerUsage usage() const;
    [[nodiscard]] const PoolerCounters *counters() const noexcept { return counters_.get(); }

private:
    /// @brief Where a statement can run now.
    struct Placement
    {
        PooledEndpoint *endpoint = nullptr; ///< Where.
        bool asPrimary = false;             ///< Only if the endpoint leads.
        std::optional<LogPosition> after{}; ///< Position to demand otherwise.
        Duration cost{};                    ///< The least is taken; only set if there are several.
    };

    /// @brief Times of a shutdown.
    struct Shutdown
    {
        Instant startedAt;   ///< Transactions that are open then have until transactionsUntil.
        Instant closeIdleAt; ///< From then on sessions without a transaction are closed.
        Instant transactionsUntil; ///< Transactions that were open at the start are ended then.
        Instant end;               ///< All sessions are closed then.
        Instant checkAt;           ///< When sessions are looked at next.
    };

    void on(pooler::Tick &event);
    void on(pooler::CallerConnected &event);
    void on(pooler::StatementReceived &event);
    void on(pooler::CallerDisconnected &event);
    void on(pooler::ConnectionOpened &event);
    void on(pooler::ConnectionEnded &event);
    void on(pooler::AnswerReceived &event);
    void on(pooler::DocumentChanged &event);
    void on(pooler::EndpointsChanged &event);
    void on(pooler::PrimaryChanged &event);
    void on(pooler::EntryHostsChanged &event);
    void on(pooler::EvidenceRequested &event);
    void on(pooler::ShutdownStarted &event);

    // Sessions and statements: pooler_sessions.cpp.
    void admit(CallerSession &session);
    [[nodiscard]] const SessionRoute &routeOf(CallerSession &session);
    void start(CallerSession &session, Statement statement);
    void begin(CallerSession &session, const Statement &statement);
    void setValue(CallerSession &session, const Statement &statement);
    void rollback(CallerSession &session);
    void run(CallerSession &session, Statement statement);
    void endFailed(CallerSession &session, const Statement &statement);
    void answer(CallerSession &session, StatementAnswer answer);
    void answer(CallerSession &session, AnswerKind kind, std::string text = {});
    void failTransaction(CallerSession &session, AnswerKind kind, std::string text);
    void next(CallerSession &session);
    void closeSession(CallerSession &session);
    void closeForShutdown();
    void progressShutdown();

    // Where statements run: pooler_dispatch.cpp.
    void dispatch(CallerSession &session);
    [[nodiscard]] bool tryPlace(CallerSession &session);
    void wait(CallerSession &session);
    void stopWaiting(const CallerSession &session);
    void pump(PooledService &service);
    void findPlacements(const CallerSession &session);
    void findPrimaryPlacements(const PooledService &service);
    [[nodiscard]] Duration cost(const PooledEndpoint &endpoint) const;
    [[nodiscard]] PooledConnection *idleConnection(const PooledEndpoint &endpoint,
                                                   const SessionValues &values);
    void attach(CallerSession &session, PooledConnection &connection, const Placement &placement);
    void sendStatement(CallerSession &session, PooledConnection &connection,
                       std::optional<LogPosition> after);
    void send(PooledConnection &connection, EndpointCommand command, CommandPurpose purpose);
    void retry(CallerSession &session, const std::string &avoid);
    void giveUp(CallerSession &session);

    // Answers of endpoints: pooler_answers.cpp.
    void beginAnswered(PooledConnection &connection, Instant sentAt, const StatementAnswer &answer);
    void statementAnswered(PooledConnection &connection, Instant sentAt, StatementAnswer answer);
    void transactionAnswered(CallerSession &session, PooledConnection &connection,
                             StatementAnswer answer);
    void commitAnswered(CallerSession &session, PooledConnection &connection,
                        StatementAnswer answer);
    void singleAnswered(CallerSession &session, PooledConnection &connection,
                        StatementAnswer answer);
    void raiseFloor(CallerSession &session, LogPosition position);
    void noteRefusal(PooledEndpoint &endpoint, const CallerRequest &request, AnswerKind kind);
    void refusedToLead(PooledEndpoint &endpoint);
    void release(PooledConnection &connection, TransactionState state);
    void becomeIdle(PooledConnection &connection);
    void sessionLost(CallerSession &session);
    void stopRunning(const CallerSession &session);

    // Endpoints and their connections: pooler_endpoints.cpp.
    ConnectionId open(PooledEndpoint &endpoint, bool probe);
    void close(ConnectionId connection);
    void abandon(PooledConnection &connection);
    void drop(ConnectionId connection);
    void startProbe(PooledEndpoint &endpoint);
    void probeEnded(PooledEndpoint &endpoint, Reachability found);
    void endpointSilent(PooledEndpoint &endpoint);
    void trim(PooledEndpoint &endpoint);
    [[nodiscard]] std::size_t share(const PooledEndpoint &endpoint) const;
    [[nodiscard]] double equalShare(const PooledEndpoint &endpoint) const;
    [[nodiscard]] Duration idleLimit(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool isShared(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool isScarce(const PooledEndpoint &endpoint) const;
    void limitIdle(const PooledEndpoint &endpoint, ConnectionId connection);
    void housekeepBy(Instant at);
    void findSpare(const PooledEndpoint &endpoint, std::vector<ConnectionId> &spare);
    void groupEndpoints();
    [[nodiscard]] bool isPrimary(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool mayTakeWork(const PooledEndpoint &endpoint) const;
    [[nodiscard]] PooledEndpoint *find(const std::string &endpoint);
    [[nodiscard]] PooledConnection *connection(ConnectionId id);
    [[nodiscard]] CallerSession *session(CallerId id);
    void report(const PooledEndpoint &endpoint, Reachability reachability);
    void fallSilent(const PooledEndpoint &endpoint);

    // Deadlines: pooler_timers.cpp.
    void schedule(CallerSession &session);
    void unschedule(CallerSession &session);
    [[nodiscard]] std::optional<Instant> nextWake(const CallerSession &session) const;
    void wake(CallerSession &session);
    void requestOverdue(CallerSession &session);
    void pumpBy(Instant at);
    void housekeep();

    // Counters: pooler_counters.cpp. Called only if counters are kept.
    void countEvent(const PoolerEvent &event);
    void countActions();
    void countAnswer(const CallerSession &session, AnswerKind kind);
    void noteRule(CallerSession &session);
    void noteAnsweredBy(CallerRequest &request, const PooledEndpoint *endpoint);
    void countRefusal(AnswerKind kind);

    /// Logs a decision. The text is made only if decisions are logged.
    template <class Text>
    void log(const Text &text)
    {
        if (settings_.logDecisions) {
            actions_.emplace_back(pooler::LogDecision{text()});
        }
    }

    PoolerSettings settings_;
    RandomSource random_;
    Instant now_;
    PoolerActions actions_{};
    std::unique_ptr<PoolerCounters> counters_; ///< Null if not kept.
    std::shared_ptr<const DeploymentDocument> document_{};
    RouteIndex routes_{};             ///< Of document_.
    std::uint64_t documentsSeen_ = 0; ///< Tells whether a SessionRoute is of document_.
    std::uint32_t entryHosts_ = 1;
    std::unordered_map<CallerId, CallerSession> sessions_{};
    std::unordered_map<ConnectionId, PooledConnection> connections_{};
    std::map<std::string, PooledEndpoint> endpoints_{};
    /// Entries are never removed, so that pointers to them stay valid.
    std::map<std::string, PooledService> services_{};
    /// Result of findPlacements(); a member so that its memory is used again.
    std::vector<Placement> placements_{};
    PreparedNames preparedNames_{};
    RetryBudget retries_;
    ConnectionId nextConnection_ = 1;
    std::set<std::pair<Instant, CallerId>> wakes_{};
    std::optional<Instant> pumpAt_{};
    std::optional<Instant> housekeepingAt_{};
    std::optional<Shutdown> shutdown_{};
    bool finished_ = false;
};

} // namespace hyssoprock
