#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <hyssoprock/balancing/endpoint_selector.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/route_index.hpp>
#include <hyssoprock/deployment/team_index.hpp>
#include <hyssoprock/limits/retry_budget.hpp>
#include <hyssoprock/pooling/caller_session.hpp>
#include <hyssoprock/pooling/home_endpoint.hpp>
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
    [[nodiscard]] std::vector<std::string> servicesWithoutSample(Instant now) const;
    [[nodiscard]] PoolerUsage usage() const;
    [[nodiscard]] const std::string &teamOf(CallerId caller) const;
    [[nodiscard]] const PoolerCounters *counters() const noexcept { return counters_.get(); }

private:
    /// @brief Endpoint that can run a statement now.
    struct Placement
    {
        PooledEndpoint *endpoint = nullptr; ///< Never null in placements_.
        bool asPrimary = false;             ///< Runs only if the endpoint is the primary.
        std::optional<LogPosition> after{}; ///< Position that it must hold otherwise.
        Duration cost{};                    ///< Lowest first; only set if there are several.
    };

    /// @brief Times of a shutdown.
    struct Shutdown
    {
        Instant startedAt;         ///< Transactions begun before may run until transactionsUntil.
        Instant closeIdleAt;       ///< Sessions without a transaction are closed from then on.
        Instant transactionsUntil; ///< Transactions begun before startedAt are rolled back then.
        Instant closeAllAt;        ///< All sessions are closed then.
        Instant nextCheckAt;       ///< Next call of closeForShutdown().
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
    void on(pooler::LeaseExtended &event);
    void on(pooler::PositionsReceived &event);
    void on(pooler::EntryHostsChanged &event);
    void on(pooler::EvidenceRequested &event);
    void on(pooler::AllowanceGranted &event);
    void on(pooler::AllowanceDenied &event);
    void on(pooler::ShutdownStarted &event);

    // Sessions and statements: pooler_sessions.cpp.
    void admit(CallerSession &session);
    [[nodiscard]] const SessionRoute &routeOf(CallerSession &session);
    /// Rolls back open transactions of sessions whose team has changed or lost its key.
    void endUnauthorizedTransactions();
    [[nodiscard]] bool mayContinue(CallerSession &session);
    void refuseUnauthorized(CallerSession &session, const Statement &statement);
    void startStatement(CallerSession &session, Statement statement);
    void beginTransaction(CallerSession &session, const Statement &statement);
    void setValue(CallerSession &session, const Statement &statement);
    void rollbackTransaction(CallerSession &session);
    void runStatement(CallerSession &session, Statement statement);
    void answerInFailedTransaction(CallerSession &session, const Statement &statement);
    void answer(CallerSession &session, StatementAnswer answer);
    void answer(CallerSession &session, AnswerKind kind, std::string text = {});
    void failTransaction(CallerSession &session, AnswerKind kind, std::string text);
    void startNextStatement(CallerSession &session);
    void closeSession(CallerSession &session);
    void closeForShutdown();
    void answerBeforeClose(CallerSession &session);
    void finishShutdownIfDone();

    // Placement of statements: pooler_dispatch.cpp.
    void dispatch(CallerSession &session);
    /// @param mayOpen Whether connections may be opened for it.
    [[nodiscard]] bool tryPlace(CallerSession &session, bool mayOpen = true);
    void enqueueWaiting(CallerSession &session);
    void removeWaiting(const CallerSession &session);
    void placeWaiting(PooledService &service);
    /// @return Whether only the primary can run the statement.
    bool findPlacements(const CallerSession &session);
    void findPrimaryPlacements(const PooledService &service, bool needsLease);
    [[nodiscard]] Duration cost(const PooledEndpoint &endpoint, const std::string &team) const;
    [[nodiscard]] PooledConnection *idleConnection(const PooledEndpoint &endpoint,
                                                   const std::string &team,
                                                   const SessionValues &values);
    [[nodiscard]] static bool hasIdleConnection(const PooledEndpoint &endpoint,
                                                const std::string &team);
    /// Number of waiting sessions that a connection of the team can serve.
    [[nodiscard]] std::size_t waitingOf(const PooledService &service,
                                        const std::string &team) const;
    /// @return Whether a connection of the team may be opened; closes another one if necessary.
    bool makeRoom(const PooledEndpoint &endpoint, const std::string &team);
    /// Closes the idle connection of another team that was unused for longest, unless a session
    /// waits for it and mayYield() does not hold.
    bool evictIdle(const PooledEndpoint &endpoint, const std::string &team);
    void attach(CallerSession &session, PooledConnection &connection, const Placement &placement);
    /// Sends the commands that bring the connection to the session's values.
    /// @return Whether any were necessary.
    bool applyValues(CallerSession &session, PooledConnection &connection);
    /// Sends the statement, after the endpoint has accepted the session's values.
    void sendStatement(CallerSession &session, PooledConnection &connection);
    /// Sends the statement on a connection that holds the session's values.
    void forwardStatement(CallerSession &session, PooledConnection &connection);
    void send(PooledConnection &connection, EndpointCommand command, CommandPurpose purpose);
    void retry(CallerSession &session, const std::string &avoid);
    void failWaitingRequest(
        CallerSession &session,
        std::string reason = "no endpoint could run the statement before its deadline");

    // Limits of teams: pooler_allowance.cpp.
    /// Dispatches the statement, after its operation is granted if the team has a limit.
    void dispatchIfAllowed(CallerSession &session);
    void dispatchAllowed(CallerSession &session);
    void requestAllowance(const std::string &team, std::size_t count);
    void stopAwaitingAllowance(const CallerSession &session);
    void updateTeamLimits();
    void refuseUnallowed(CallerSession &session, bool overLimit, std::string reason);

    // Order of waiting statements and pacing of openings: pooler_admission.cpp.
    [[nodiscard]] bool isFair() const noexcept { return settings_.admission == Admission::Fair; }
    [[nodiscard]] WaitingStatement waitingStatement(const CallerSession &session) const;
    /// Adds the session to the queue, or refuses its statement or that of another session. The
    /// session may be closed afterwards.
    void enqueueFairly(CallerSession &session);
    void refuseWaiting(CallerSession &session, std::string_view reason, Duration retryAfter);
    void placeFairly(PooledService &service);
    [[nodiscard]] bool mayOpen(const PooledEndpoint &endpoint);
    /// Whether an idle connection whose team has waiting sessions may be closed for another team.
    [[nodiscard]] bool mayYield(const PooledConnection &connection, const std::string &team) const;

    // Even load and outliers: pooler_balancing.cpp. Nothing changes unless
    // PoolerSettings::evenBalancing is set.
    static void setOutlierMembers(PooledService &service);
    /// Removes avoided endpoints from placements_, unless there are no others.
    void avoidOutliers(const CallerSession &session);
    /// Sorts placements_.
    void rankPlacements(const CallerRequest &request);
    void beginTrial(const Placement &placement);
    void recordReadAnswer(PooledEndpoint &endpoint, const CallerRequest &request, AnswerKind kind);
    void recordBusy(PooledEndpoint &endpoint);
    void recordOverdueRead(PooledEndpoint &endpoint, CallerRequest &request, bool heard);
    void recordConnectionEnd(PooledEndpoint &endpoint, const PooledConnection &ended,
                             ConnectionFailure reason);
    void recordOutcome(PooledEndpoint &endpoint, EndpointOutcome outcome);

    // Answers of endpoints: pooler_answers.cpp.
    void handleSetupAnswer(PooledConnection &connection, const StatementAnswer &answer);
    void handleValueFailure(CallerSession &session, PooledConnection &connection,
                            TransactionState state);
    void handleBeginAnswer(PooledConnection &connection, Instant sentAt,
                           const StatementAnswer &answer);
    void handleStatementAnswer(PooledConnection &connection, Instant sentAt,
                               StatementAnswer answer);
    void handleTransactionAnswer(CallerSession &session, PooledConnection &connection,
                                 StatementAnswer answer);
    void handleCommitAnswer(CallerSession &session, PooledConnection &connection,
                            StatementAnswer answer);
    void handleAutocommitAnswer(CallerSession &session, PooledConnection &connection,
                                StatementAnswer answer);
    void raiseFloor(CallerSession &session, LogPosition position);
    void recordRefusal(PooledEndpoint &endpoint, const CallerRequest &request, AnswerKind kind);
    void handleNotPrimary(PooledEndpoint &endpoint);
    void release(PooledConnection &connection, TransactionState state);
    void becomeIdle(PooledConnection &connection);
    void releaseSession(CallerSession &session);
    void recordStatementEnd(const CallerSession &session);

    // Endpoints and their connections: pooler_endpoints.cpp.
    ConnectionId open(PooledEndpoint &endpoint, const std::string &team, bool probe);
    void close(ConnectionId connection);
    void abandon(PooledConnection &connection);
    void drop(ConnectionId connection);
    void recordFull(PooledEndpoint &endpoint);
    /// Time for which an idle connection is kept regardless of idleTimeout().
    [[nodiscard]] Duration idleTimeMin(const PooledConnection &connection) const;
    void startProbe(PooledEndpoint &endpoint);
    void handleProbeResult(PooledEndpoint &endpoint, Reachability found);
    void handleConnectTimeout(PooledEndpoint &endpoint);
    void closeIdleIfDraining(PooledEndpoint &endpoint);
    [[nodiscard]] std::size_t connectionQuota(const PooledEndpoint &endpoint) const;
    [[nodiscard]] double equalShare(const PooledEndpoint &endpoint) const;
    [[nodiscard]] Duration idleTimeout(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool isOversubscribed(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool isRecentlyFull(const PooledEndpoint &endpoint) const;
    void limitIdleTime(const PooledEndpoint &endpoint, ConnectionId connection);
    void scheduleMaintenance(Instant at);
    void collectExcessIdle(const PooledEndpoint &endpoint, std::vector<ConnectionId> &spare);
    void groupEndpoints();
    /// Connections of an endpoint where hosts take turns.
    [[nodiscard]] double sharedConnections(const PooledEndpoint &endpoint) const;
    void assignHomes(PooledService &service);
    void assignHomes(const std::vector<PooledEndpoint *> &endpoints);
    [[nodiscard]] bool isPrimary(const PooledEndpoint &endpoint) const;
    [[nodiscard]] bool mayTakeWork(const PooledEndpoint &endpoint) const;
    [[nodiscard]] PooledEndpoint *find(const std::string &endpoint);
    [[nodiscard]] PooledConnection *connection(ConnectionId id);
    [[nodiscard]] CallerSession *session(CallerId id);
    void report(const PooledEndpoint &endpoint, Reachability reachability);
    void handleSilence(const PooledEndpoint &endpoint);

    // Positions from control hosts: pooler_positions.cpp.
    [[nodiscard]] bool isProven(const PositionSample &sample, const PooledService &service) const;

    // Lease on the primaries: pooler_lease.cpp.
    [[nodiscard]] bool needsLease(const CallerSession &session) const;
    [[nodiscard]] LeasedUse leasedUseOf(const Service &service) const noexcept;
    [[nodiscard]] static bool usesLease(const CallerSession &owner, ConnectionId id,
                                        LeasedUse leasedUse);
    [[nodiscard]] std::vector<ConnectionId> connectionsTo(const std::string &endpoint) const;
    [[nodiscard]] bool hasLease() const noexcept;
    [[nodiscard]] std::optional<Instant> nextLeaseDeadline() const;
    void endLeaseIfDue();
    void stopUsing(const std::string &formerPrimary, LeasedUse leasedUse, bool includeUndecided);
    [[nodiscard]] bool hasUndecidedWork(const std::string &formerPrimary, LeasedUse leasedUse);
    void endUseOf(const std::string &formerPrimary, const std::string &name,
                  const PooledService &service);
    void finishWithdrawals();

    // Deadlines: pooler_timers.cpp.
    void schedule(CallerSession &session);
    void unschedule(CallerSession &session);
    [[nodiscard]] std::optional<Instant> nextWake(const CallerSession &session) const;
    void wake(CallerSession &session);
    void handleOverdueRequest(CallerSession &session);
    void schedulePlacement(Instant at);
    void maintainConnections();

    // Counters: pooler_counters.cpp. Called only if counters are kept.
    void countEvent(const PoolerEvent &event);
    void countActions();
    void countAnswer(const CallerSession &session, AnswerKind kind);
    void recordRule(CallerSession &session);
    void recordAnsweredBy(CallerRequest &request, const PooledEndpoint *endpoint);
    void countRefusal(AnswerKind kind);

    /// Logs a decision. The text is built only if decisions are logged.
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
    std::unique_ptr<PoolerCounters> counters_; ///< Null if disabled.
    std::shared_ptr<const DeploymentDocument> document_{};
    RouteIndex routes_{}; ///< Index of the routes of document_.
    TeamIndex teams_{};   ///< Index of the teams of document_.
    /// Sessions that wait for an allowance, oldest first, by team. Lists the teams with a limit.
    std::map<std::string, std::deque<CallerId>> awaitingAllowance_{};
    std::uint64_t documentNumber_ = 0; ///< Incremented with each document; see SessionRoute.
    std::uint32_t entryHosts_ = 1;
    /// Withdrawals that are not reported yet, by service.
    std::map<std::string, PrimaryWithdrawal> withdrawals_{};
    Instant leaseUntil_{};     ///< End of the lease on the primaries.
    Instant leaseHeldSince_{}; ///< Since when the lease has been held without interruption.
    bool leaseEnded_ = false;  ///< A lease was held and has ended.
    std::unordered_map<CallerId, CallerSession> sessions_{};
    std::unordered_map<ConnectionId, PooledConnection> connections_{};
    std::map<std::string, PooledEndpoint> endpoints_{};
    /// Entries are never removed, so that pointers to them stay valid.
    std::map<std::string, PooledService> services_{};
    /// Result of findPlacements(); a member to reuse its memory.
    std::vector<Placement> placements_{};
    std::vector<EndpointCandidate> candidates_{}; ///< Input of selector_, in order of placements_.
    EndpointSelector selector_{random_};
    PreparedNames preparedNames_{};
    RetryBudget retries_;
    ConnectionId nextConnection_ = 1;
    std::set<std::pair<Instant, CallerId>> wakes_{};
    std::optional<Instant> placementAt_{};
    std::optional<Instant> maintenanceAt_{};
    std::optional<Shutdown> shutdown_{};
    bool finished_ = false;
    bool placing_ = false; ///< placeFairly() is running.
};

} // namespace hyssoprock
