#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/pooling/pooler_action.hpp>
#include <hyssoprock/promotion/endpoint_status_row.hpp>

#include "caller_expectations.hpp"

/// @file
/// @brief Simulation of a replicated group of endpoints, without sockets.

namespace hyssoprock::test {

/// @brief Range of a random duration.
struct DurationRange
{
    Duration min{}; ///< Inclusive.
    Duration max{}; ///< Inclusive.
};

/// @brief Behaviour of a simulated group without faults.
struct GroupSettings
{
    std::string service = "s";       ///< Service that the endpoints belong to.
    std::string prefix = "d";        ///< Prefix of the names of the initial endpoints.
    std::size_t endpoints = 3;       ///< Named d1, d2 and so on; d1 is the first primary.
    std::uint64_t numberMin = 0;     ///< Commits and transactions have higher numbers.
    std::uint32_t slots = 3;         ///< Statements that an endpoint runs at once.
    std::size_t connectionsMax = 20; ///< Connections that an endpoint accepts.
    DurationRange network{std::chrono::milliseconds{1}, std::chrono::milliseconds{1}}; ///< One way.
    DurationRange serviceTime{std::chrono::milliseconds{5},
                              std::chrono::milliseconds{5}}; ///< Execution time of one statement.
    Duration replicationDelay =
        std::chrono::milliseconds{10}; ///< Delay from a commit to its replication.
    Duration connectTimeout = std::chrono::milliseconds{200}; ///< Delay before Silent is reported.
    /// Time for which a replaced primary goes on as primary of its old term; zero if a promotion
    /// deposes it.
    DurationRange formerPrimaryUse{};
};

/// @brief A group of endpoints in simulated time, as platform/protocol.md describes them.
class EndpointGroupSimulation
{
public:
    /// @brief Starts with empty logs and d1 as primary of term 1.
    EndpointGroupSimulation(std::uint64_t seed, GroupSettings settings,
                            CallerExpectations &expectations);

    /// @brief Executes an action of a Pooler that concerns connections; ignores others.
    void execute(const PoolerAction &action, Instant now);
    /// @brief Time of the next scheduled event; std::nullopt if there is none.
    [[nodiscard]] std::optional<Instant> nextEventAt() const;
    /// @brief Processes scheduled events until one produces an event for the Pooler.
    /// @return The event; std::nullopt if no event is due.
    [[nodiscard]] std::optional<PoolerEvent> advance(Instant now);

    /// @brief Sets whether new connections are refused.
    void refuse(const std::string &id, bool refused) { endpoints_.at(id).refuses = refused; }
    /// @brief Adds a running endpoint without data.
    void add(const std::string &id, const std::string &address, std::uint64_t bornMs);
    /// @brief Delays everything to and from the endpoint until a time, as a partition does.
    void delayTrafficUntil(const std::string &id, Instant until)
    {
        endpoints_.at(id).trafficDelayedUntil = until;
    }
    /// @brief Delays the answer to the next statement that completes on the endpoint.
    /// @param id Name of the endpoint.
    /// @param delay Delay; std::nullopt drops this and all later answers on the connection.
    void delayNextResponse(const std::string &id, std::optional<Duration> delay);
    /// @brief Makes the next statement on the endpoint fail after it has run.
    void failNextStatement(const std::string &id) { endpoints_.at(id).failsNextStatement = true; }
    /// @brief Makes the next commands that set values or prepare statements on the endpoint fail.
    /// @param id Name of the endpoint.
    /// @param count Number of failing commands.
    /// @param applied Whether they take effect nevertheless.
    void failNextSettings(const std::string &id, std::size_t count = 1, bool applied = false);
    /// @brief Discards the prepared statements of all connections of the endpoint.
    void clearPreparedStatements(const std::string &id);
    /// @brief Resets one connection; a running statement still takes effect.
    void dropConnection(ConnectionId id);
    /// @brief Stops the endpoint; running statements have no effect.
    void stopEndpoint(const std::string &id);
    /// @brief Starts a new incarnation that keeps the log.
    /// @param bornMs Start of the incarnation; by default incarnations are counted.
    void startEndpoint(const std::string &id, std::optional<std::uint64_t> bornMs = std::nullopt);
    /// @brief Simulates that the process that opened a connection has crashed; the endpoint closes
    /// the connection after a delay.
    void abandon(ConnectionId id, Duration delay);
    /// @brief Makes the endpoint the primary of the next term, with its current log.
    void promote(const std::string &id);
    /// @brief Makes a primary of a lower term a replica.
    void stepDown(const std::string &id, std::uint64_t term);
    void setReplicationDelay(const std::string &id, Duration delay);
    /// @brief Sets whether the replica receives no commits.
    void setReplicationPaused(const std::string &id, bool paused);
    /// @brief Sets whether heartbeats report the endpoint as draining.
    void setDraining(const std::string &id, bool draining);
    /// @brief Sets the number of statements that run at once.
    void setSlots(const std::string &id, std::uint32_t slots) { endpoints_.at(id).slots = slots; }

    /// @brief Heartbeats of the endpoints that are up.
    [[nodiscard]] std::vector<EndpointRecord> records() const;
    /// @brief Heartbeat of one endpoint.
    [[nodiscard]] EndpointRecord record(const std::string &id) const;
    /// @brief Row that the endpoint returns for a STATUS command.
    [[nodiscard]] EndpointStatusRow status(const std::string &id);
    /// @brief Names of all endpoints, including stopped ones.
    [[nodiscard]] std::vector<std::string> endpoints() const;
    /// @brief Whether the Pooler has neither closed the connection nor been notified of its end.
    [[nodiscard]] bool isKnownToPooler(ConnectionId id) const
    {
        return connections_.at(id).knownToPooler;
    }
    [[nodiscard]] const std::string &primary() const noexcept { return primary_; }
    /// @brief Current simulated time.
    [[nodiscard]] Instant now() const noexcept { return now_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// @brief Open connections of the endpoint.
    [[nodiscard]] std::vector<ConnectionId> connections(const std::string &id) const;
    [[nodiscard]] bool isUp(const std::string &id) const { return endpoints_.at(id).up; }
    /// @brief Number of commands of a kind that the endpoint has received.
    [[nodiscard]] std::size_t count(const std::string &id, EndpointCommandKind kind) const;

    /// @brief Returns until when traffic of a connection is delayed; by default it is not delayed.
    /// Arguments: connection, endpoint, whether the traffic goes to the endpoint.
    std::function<Instant(ConnectionId, const std::string &, bool)> connectionDelayedUntil;
    /// @brief Returns the name of the process that listens at an address; empty if none does. By
    /// default it is the endpoint that the connection is for.
    std::function<std::string(const std::string &)> listenerAt;
    /// @brief Called when a transaction, or a statement without one, begins on an endpoint.
    std::function<void(ConnectionId, const std::string &)> onWorkStarted;

private:
    struct Endpoint
    {
        std::string id;
        std::string address;
        std::uint64_t bornMs = 1;
        bool up = true;
        bool refuses = false;
        bool replicationPaused = false;
        bool draining = false;
        bool failsNextStatement = false;
        std::size_t failingSettings = 0;     ///< Next commands that set values and fail.
        bool failingSettingsApplied = false; ///< They take effect nevertheless.
        bool steppedDown = false;            ///< It was told to stop being primary.
        bool formerPrimary = false; ///< It was replaced and still acts as primary of its old term.
        Instant trafficDelayedUntil;
        std::optional<std::optional<Duration>> nextResponseDelay;
        Duration replicationDelay{};
        std::uint64_t term = 1;
        std::uint64_t incarnation = 1;
        std::uint32_t slots = 1;
        std::uint32_t running = 0;
        SimulatedLog log;
        std::map<EndpointCommandKind, std::size_t> counts;
    };

    struct Connection
    {
        ConnectionId id = 0;
        std::string endpoint;
        std::string team; ///< Team named in the startup; empty for none.
        std::uint64_t incarnation = 0;
        bool open = false;             ///< The endpoint has accepted it.
        bool busy = false;             ///< A statement is running.
        bool responsesDropped = false; ///< Further answers are lost.
        bool closing = false;          ///< Closed after the commands received so far.
        bool knownToPooler = true; ///< The Pooler neither closed it nor was notified of its end.
        TransactionState state = TransactionState::Idle;
        bool readWrite = false;
        std::uint64_t transaction = 0;
        std::vector<std::string> writes;
        std::map<std::string, std::string> variables;
        std::map<std::string, PreparedStatement> prepared;
        std::deque<EndpointCommand> inbound;
        std::deque<EndpointCommand> arrived;
        std::deque<StatementAnswer> outbound;
        Instant lastInbound;
        Instant lastOutbound;
    };

    /// Kind of a statement, from its text or its prepared statement.
    enum class WorkKind : std::uint8_t { Read, Write, Commit };

    void schedule(Instant time, std::function<void()> callback);
    [[nodiscard]] Instant delayedUntil(ConnectionId id, const Endpoint &endpoint,
                                       bool inbound) const;
    void notifyOpened(ConnectionId id);
    Duration draw(DurationRange range) { return random_.between(range.min, range.max); }
    void handleOpen(const pooler::OpenConnection &open);
    void handleCommand(ConnectionId id);
    void handleClose(ConnectionId id);
    void deliverAnswer(ConnectionId id);
    void process(ConnectionId id);
    [[nodiscard]] StatementAnswer executeControlCommand(Connection &connection, Endpoint &endpoint,
                                                        const EndpointCommand &command);
    static void applySetting(Connection &connection, const EndpointCommand &command);
    [[nodiscard]] std::optional<AnswerKind> startStatement(Connection &connection,
                                                           Endpoint &endpoint,
                                                           const EndpointCommand &command,
                                                           WorkKind &work);
    void finishStatement(ConnectionId id, std::uint64_t incarnation, const EndpointCommand &command,
                         WorkKind work, bool fails);
    void reply(Connection &connection, Endpoint &endpoint, StatementAnswer answer);
    void end(ConnectionId id);
    void notifyEnded(ConnectionId id, ConnectionFailure reason);
    void catchUp(Endpoint &endpoint);
    [[nodiscard]] bool hasPosition(const Endpoint &endpoint, LogPosition position) const;
    [[nodiscard]] bool isPrimary(const Endpoint &endpoint) const
    {
        return (endpoint.id == primary_ && !endpoint.steppedDown) || endpoint.formerPrimary;
    }
    void deposeFormerPrimary(Endpoint &endpoint);
    std::uint64_t commit(Endpoint &endpoint, const std::vector<std::string> &writes);

    RandomSource random_;
    GroupSettings settings_;
    CallerExpectations &expectations_;
    Instant now_;
    std::multimap<Instant, std::function<void()>> scheduled_;
    std::optional<PoolerEvent> event_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<ConnectionId, Connection> connections_;
    std::string primary_;
    std::uint64_t term_ = 1;
    std::map<std::uint64_t, std::uint64_t> termStartIndex_; ///< Log length at the start of a term.
    Instant promotedAt_;
    std::uint64_t serial_ = 0;
    std::uint64_t transaction_ = 0;
};

} // namespace hyssoprock::test
