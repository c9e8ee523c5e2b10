#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/pooling/pooler_action.hpp>
#include <hyssoprock/pooling/session_values.hpp>

/// @file
/// @brief Checks what endpoints run and callers are answered against what callers asked.

namespace hyssoprock::test {

/// @brief One commit in the log of a simulated endpoint.
struct SimulatedCommit
{
    LogPosition position;            ///< Where.
    std::uint64_t serial = 0;        ///< Unique over all logs.
    std::vector<std::string> writes; ///< Identifiers of the write statements.
    Instant at;                      ///< When.
};

/// @brief Log of a simulated endpoint; the commit with index n is at n - 1.
using SimulatedLog = std::vector<SimulatedCommit>;

/// @brief A statement that an endpoint runs.
struct SimulatedRun
{
    ConnectionId connection = 0;              ///< Where.
    std::uint64_t transaction = 0;            ///< Endpoint's transaction; 0: none.
    std::string endpoint;                     ///< Which endpoint.
    std::string service;                      ///< Of the endpoint.
    const EndpointCommand *command = nullptr; ///< What.
    const std::map<std::string, std::string> *variables = nullptr; ///< Of the connection.
    std::optional<PreparedStatement> prepared; ///< Under the name of an Execute.
    bool reads = false;                        ///< It reads the log.
    const SimulatedLog *log = nullptr;         ///< Of the endpoint.
};

/// @brief Record of a statement that ran, for tests.
struct PastRun
{
    std::string id;              ///< Identifier of the statement.
    std::string endpoint;        ///< Where it ran.
    ConnectionId connection = 0; ///< On which connection.
    bool inTransaction = false;  ///< In a transaction of the endpoint.
};

/// @brief What each caller has asked and was told. Each broken rule ends the process by check().
class CallerExpectations
{
public:
    /// @brief Puts a document in force at an entry host.
    void setDocument(std::shared_ptr<const DeploymentDocument> document,
                     const std::string &host = {});
    /// @brief A caller connects to an entry host.
    void callerArrived(CallerId caller, const std::string &database, const std::string &host = {});
    /// @brief A caller sends a statement; its identifier is unique over all callers.
    void statementSent(CallerId caller, const Statement &statement, Instant now);
    /// @brief A caller leaves or is closed; its unanswered statements stay without an answer.
    void callerGone(CallerId caller);
    /// @brief A caller gets an answer.
    void answered(CallerId caller, const StatementAnswer &answer, Instant now);
    /// @brief The Pooler sends a command.
    void commandSent(ConnectionId connection, const EndpointCommand &command);
    /// @brief An endpoint starts to run a statement.
    void ran(const SimulatedRun &run);
    /// @brief A statement that had started is refused without effect, so it may run elsewhere.
    void refusedAfterStart(const std::string &id) { started_.erase(id); }
    /// @brief A commit takes effect.
    /// @param id Statement that caused it.
    /// @param writes Statements whose writes it keeps.
    /// @param serial Of the commit.
    /// @param position Of the commit.
    /// @param service Of the endpoint.
    void committed(const std::string &id, const std::vector<std::string> &writes,
                   std::uint64_t serial, LogPosition position, const std::string &service);
    /// @brief A promotion has rolled a commit back.
    void rolledBack(std::uint64_t serial) { rolledBack_.insert(serial); }

    /// @brief Statements that ran, in order.
    [[nodiscard]] const std::vector<PastRun> &runs() const noexcept { return runs_; }
    /// @brief How often a statement ran.
    [[nodiscard]] std::size_t timesRun(const std::string &id) const;
    /// @brief Whether the effects of a statement were committed.
    [[nodiscard]] bool wasCommitted(const std::string &id) const { return kept_.contains(id); }
    /// @brief Statements of connected callers without an answer.
    [[nodiscard]] std::size_t unanswered() const;
    /// @brief Commits acknowledged to callers that a promotion has rolled back.
    [[nodiscard]] std::size_t acknowledgedAndLost() const;

private:
    /// A transaction or a statement on its own: what a refusal speaks of.
    struct Attempt
    {
        Instant arrivedAt;
        Route route;
        bool refused = false;
        bool transaction = false;
        std::optional<std::uint64_t> endpointTransaction;
        std::set<std::string> services; ///< Of the route since the attempt began.
        std::vector<std::string> writes;
        std::set<std::string> writesAnswered; ///< Acknowledged in the transaction.
    };

    struct Asked
    {
        CallerId caller = 0;
        Statement statement;
        Instant arrivedAt;
        std::optional<Route> route;     ///< In force when it was next in its session.
        std::set<std::string> services; ///< Of its route since then.
        std::shared_ptr<Attempt> attempt;
        bool answered = false;
    };

    /// What a statement has to find on its connection.
    struct Expected
    {
        std::map<std::string, std::string> variables;
        std::optional<PreparedStatement> prepared;
    };

    struct Caller
    {
        std::string database;
        std::string host;
        std::deque<std::string> unanswered;
        std::map<std::string, std::string> variables;
        std::map<std::string, PreparedStatement> prepared;
        std::shared_ptr<Attempt> transaction;
    };

    struct Acknowledged
    {
        std::uint64_t serial = 0;
        std::uint64_t index = 0;
        Instant at;
        CallerId caller = 0;
    };
    /// A commit and the service that holds it.
    struct Kept
    {
        std::string service;
        LogPosition position;
    };

    void refuse(Attempt &attempt);
    void noteRoute(const Caller &caller);
    void checkFresh(const Asked &asked, const SimulatedRun &run) const;
    [[nodiscard]] const Route *routeOf(const Caller &caller) const;
    [[nodiscard]] bool writes(const Asked &asked, const Expected &expected) const;

    std::map<std::string, std::shared_ptr<const DeploymentDocument>> documents_; ///< By host.
    std::map<CallerId, Caller> callers_;
    std::map<std::string, Asked> asked_;
    std::map<std::pair<ConnectionId, std::string>, Expected> expected_;
    std::map<std::uint64_t, std::shared_ptr<Attempt>> owners_; ///< By endpoint transaction.
    std::map<std::string, std::uint64_t> kept_;                ///< Serial by write or commit.
    std::map<std::uint64_t, Kept> positions_;                  ///< By serial.
    std::set<std::string> started_;                            ///< Writes and commits.
    std::set<std::uint64_t> rolledBack_;
    std::map<std::string, std::vector<Acknowledged>> acknowledged_; ///< By service.
    std::vector<PastRun> runs_;
};

} // namespace hyssoprock::test
