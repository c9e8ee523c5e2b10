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
/// @brief Stand-in of a group of endpoints that replicate themselves, without sockets.

namespace hyssoprock::test {

/// @brief Range of a random duration.
struct DurationRange
{
    Duration least{}; ///< Inclusive.
    Duration most{};  ///< Inclusive.
};

/// @brief How a simulated group behaves without faults.
struct GroupSettings
{
    std::string service = "s";       ///< Service that the endpoints belong to.
    std::string prefix = "d";        ///< Of the names of the first endpoints.
    std::size_t endpoints = 3;       ///< Named d1, d2 and so on; d1 leads the first term.
    std::uint64_t firstNumber = 0;   ///< Commits and transactions have higher numbers.
    std::uint32_t slots = 3;         ///< Statements that an endpoint runs at once.
    std::size_t connectionsMax = 20; ///< Connections that an endpoint accepts.
    DurationRange network{std::chrono::milliseconds{1}, std::chrono::milliseconds{1}}; ///< One way.
    DurationRange serviceTime{std::chrono::milliseconds{5},
                              std::chrono::milliseconds{5}};   ///< Of one statement.
    Duration replicationDelay = std::chrono::milliseconds{10}; ///< From a commit to replicas.
    Duration connectTimeout = std::chrono::milliseconds{200};  ///< Until Silent is reported.
};

/// @brief A group of endpoints in simulated time, as platform/protocol.md describes them.
class EndpointGroupSimulation
{
public:
    /// @brief Starts with empty logs and d1 as primary of term 1.
    EndpointGroupSimulation(std::uint64_t seed, GroupSettings settings,
                            CallerExpectations &expectations);

    /// @brief Carries out an action of a Pooler that concerns connections; ignores others.
    void take(const PoolerAction &action, Instant now);
    /// @brief When something happens next.
    [[nodiscard]] std::optional<Instant> nextAt() const;
    /// @brief Lets happen what is due, up to the first event that the Pooler is told.
    /// @return The event, or nothing if nothing is due any more.
    [[nodiscard]] std::optional<PoolerEvent> advance(Instant now);

    /// @brief Whether new connections are refused.
    void refuse(const std::string &id, bool refused) { endpoints_.at(id).refuses = refused; }
    /// @brief Adds an endpoint without data, which is up.
    void add(const std::string &id, const std::string &address, std::uint64_t bornMs);
    /// @brief Delays everything to and from the endpoint until a time, as a partition does.
    void silence(const std::string &id, Instant until) { endpoints_.at(id).silentUntil = until; }
    /// @brief The next statement that ends on the endpoint is answered later, or never.
    void delayNextAnswer(const std::string &id, std::optional<Duration> delay);
    /// @brief The next statement on the endpoint runs and fails.
    void failNextStatement(const std::string &id) { endpoints_.at(id).failNext = true; }
    /// @brief The endpoint forgets the prepared statements of all connections.
    void forgetPrepared(const std::string &id);
    /// @brief Resets one connection; a statement under way still takes effect.
    void dropConnection(ConnectionId id);
    /// @brief Ends the endpoint; statements under way have no effect.
    void takeDown(const std::string &id);
    /// @brief Starts a new incarnation with the log that it had.
    /// @param bornMs Start of the incarnation; by default incarnations are counted.
    void bringUp(const std::string &id, std::optional<std::uint64_t> bornMs = std::nullopt);
    /// @brief The process that opened a connection has died; the endpoint finds out later.
    void abandon(ConnectionId id, Duration delay);
    /// @brief The endpoint leads the next term with the log that it has.
    void promote(const std::string &id);
    /// @brief Changes the replication delay.
    void setDelay(const std::string &id, Duration delay);
    /// @brief Whether the replica receives nothing.
    void setDeaf(const std::string &id, bool deaf);
    /// @brief Whether heartbeats say that it is draining.
    void setDraining(const std::string &id, bool draining);
    /// @brief Changes the number of statements that run at once.
    void setSlots(const std::string &id, std::uint32_t slots) { endpoints_.at(id).slots = slots; }

    /// @brief Heartbeats of the endpoints that are up.
    [[nodiscard]] std::vector<EndpointRecord> records() const;
    /// @brief Heartbeat of one endpoint.
    [[nodiscard]] EndpointRecord record(const std::string &id) const;
    /// @brief Answer to a STATUS order.
    [[nodiscard]] EndpointStatusRow status(const std::string &id);
    /// @brief Endpoints that were ever added.
    [[nodiscard]] std::vector<std::string> endpoints() const;
    /// @brief Whether the Pooler has not closed the connection and was not told of its end.
    [[nodiscard]] bool known(ConnectionId id) const { return connections_.at(id).poolerKnows; }
    /// @brief Present primary.
    [[nodiscard]] const std::string &primary() const noexcept { return primary_; }
    /// @brief Time that has been reached.
    [[nodiscard]] Instant now() const noexcept { return now_; }
    /// @brief Present term.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// @brief Connections that the endpoint has.
    [[nodiscard]] std::vector<ConnectionId> connections(const std::string &id) const;
    /// @brief Whether the endpoint is up.
    [[nodiscard]] bool up(const std::string &id) const { return endpoints_.at(id).up; }
    /// @brief Commands of a kind that arrived at the endpoint.
    [[nodiscard]] std::size_t count(const std::string &id, EndpointCommandKind kind) const;

    /// @brief Until when traffic of a connection is held back; by default it is not.
    /// Arguments: connection, endpoint, whether the traffic goes to the endpoint.
    std::function<Instant(ConnectionId, const std::string &, bool)> heldUntil;
    /// @brief Identifier of whoever listens at an address; empty for nobody. By default it is the
    /// endpoint that the connection is for.
    std::function<std::string(const std::string &)> listening;
    /// @brief Called when a transaction, or a statement without one, begins on an endpoint.
    std::function<void(ConnectionId, const std::string &)> workBegins;

private:
    struct Endpoint
    {
        std::string id;
        std::string address;
        std::uint64_t bornMs = 1;
        bool up = true;
        bool refuses = false;
        bool deaf = false;
        bool draining = false;
        bool failNext = false;
        Instant silentUntil;
        std::optional<std::optional<Duration>> delayNext;
        Duration delay{};
        std::uint64_t term = 1;
        std::uint64_t life = 1;
        std::uint32_t slots = 1;
        std::uint32_t running = 0;
        SimulatedLog log;
        std::map<EndpointCommandKind, std::size_t> counts;
    };

    struct Connection
    {
        ConnectionId id = 0;
        std::string endpoint;
        std::uint64_t life = 0;
        bool open = false;       ///< The endpoint has accepted it.
        bool busy = false;       ///< A statement is under way.
        bool mute = false;       ///< Answers do not arrive any more.
        bool closing = false;    ///< The endpoint ends it after the commands that have arrived.
        bool poolerKnows = true; ///< The Pooler has not closed it and was not told of its end.
        TransactionState state = TransactionState::Idle;
        bool plain = false;
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

    /// What a statement does, as its text or its prepared statement says.
    enum class Work : std::uint8_t { Read, Write, Commit };

    void at(Instant when, std::function<void()> what);
    [[nodiscard]] Instant held(ConnectionId id, const Endpoint &endpoint, bool inbound) const;
    void opened(ConnectionId id);
    Duration draw(DurationRange range) { return random_.between(range.least, range.most); }
    void openArrives(const pooler::OpenConnection &open);
    void commandArrives(ConnectionId id);
    void closeArrives(ConnectionId id);
    void answerArrives(ConnectionId id);
    void process(ConnectionId id);
    [[nodiscard]] StatementAnswer immediate(Connection &connection, Endpoint &endpoint,
                                            const EndpointCommand &command);
    [[nodiscard]] std::optional<AnswerKind> startStatement(Connection &connection,
                                                           Endpoint &endpoint,
                                                           const EndpointCommand &command,
                                                           Work &work);
    void finishStatement(ConnectionId id, std::uint64_t life, const EndpointCommand &command,
                         Work work, bool fails);
    void reply(Connection &connection, Endpoint &endpoint, StatementAnswer answer);
    void end(ConnectionId id);
    void tellEnded(ConnectionId id, ConnectionFailure reason);
    void catchUp(Endpoint &endpoint);
    [[nodiscard]] bool holds(const Endpoint &endpoint, LogPosition position) const;
    [[nodiscard]] bool leads(const Endpoint &endpoint) const { return endpoint.id == primary_; }
    std::uint64_t commit(Endpoint &endpoint, const std::vector<std::string> &writes);

    RandomSource random_;
    GroupSettings settings_;
    CallerExpectations &expectations_;
    Instant now_;
    std::multimap<Instant, std::function<void()>> due_;
    std::optional<PoolerEvent> event_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<ConnectionId, Connection> connections_;
    std::string primary_;
    std::uint64_t term_ = 1;
    std::map<std::uint64_t, std::uint64_t> termStart_; ///< Entries that a term began with.
    Instant promotedAt_;
    std::uint64_t serial_ = 0;
    std::uint64_t transaction_ = 0;
};

} // namespace hyssoprock::test
