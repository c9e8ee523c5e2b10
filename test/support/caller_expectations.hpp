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
/// @brief Checks the statements run on endpoints and the answers to callers against what callers
/// sent.

namespace hyssoprock::test {

/// @brief One commit in the log of a simulated endpoint.
struct SimulatedCommit
{
    LogPosition position;            ///< Position in the log.
    std::uint64_t serial = 0;        ///< Unique over all logs.
    std::vector<std::string> writes; ///< Identifiers of the write statements.
    Instant at;                      ///< Time of the commit.
};

/// @brief Log of a simulated endpoint; element n - 1 is the commit with index n.
using SimulatedLog = std::vector<SimulatedCommit>;

/// @brief A statement that an endpoint runs.
struct SimulatedRun
{
    ConnectionId connection = 0;              ///< Connection that it arrived on.
    std::uint64_t transaction = 0;            ///< Endpoint's transaction; 0 if none.
    std::string endpoint;                     ///< Endpoint that runs it.
    std::string service;                      ///< Service of the endpoint.
    std::string team;                         ///< Team that the connection named; empty for none.
    const EndpointCommand *command = nullptr; ///< Command that contains it.
    const std::map<std::string, std::string> *variables = nullptr; ///< Variables of the connection.
    std::optional<PreparedStatement> prepared; ///< Statement that an Execute refers to.
    bool reads = false;                        ///< Whether it reads the log.
    const SimulatedLog *log = nullptr;         ///< Log of the endpoint.
};

/// @brief Record of one execution of a statement.
struct PastRun
{
    std::string id;              ///< Identifier of the statement.
    std::string endpoint;        ///< Endpoint that ran it.
    ConnectionId connection = 0; ///< Connection that it ran on.
    bool inTransaction = false;  ///< Whether it ran in a transaction of the endpoint.
    std::string team;            ///< Team that its connection named; empty for none.
};

/// @brief Tracks the statements and answers of each caller. A violated rule ends the process by
/// check().
class CallerExpectations
{
public:
    /// @brief Sets the document that an entry host uses.
    void setDocument(std::shared_ptr<const DeploymentDocument> document,
                     const std::string &host = {});
    /// @brief Records that a caller connects to an entry host.
    void recordConnect(CallerId caller, const std::string &database, const std::string &host = {});
    /// @brief Records a statement of a caller; its identifier is unique across all callers.
    void recordStatement(CallerId caller, const Statement &statement, Instant now);
    /// @brief Records the end of a caller's connection; pending statements stay unanswered.
    void recordDisconnect(CallerId caller);
    /// @brief Records and checks an answer to a caller.
    void recordAnswer(CallerId caller, const StatementAnswer &answer, Instant now);
    /// @brief Records and checks a command that the Pooler sends.
    void recordCommand(ConnectionId connection, const EndpointCommand &command);
    /// @brief Records and checks that an endpoint starts to run a statement.
    void recordRun(const SimulatedRun &run);
    /// @brief Records that a started statement was refused without effect, so it may run elsewhere.
    void recordRefusalAfterStart(const std::string &id) { started_.erase(id); }
    /// @brief Records and checks a commit that takes effect.
    /// @param id Statement that caused it.
    /// @param writes Statements whose writes it keeps.
    /// @param serial Serial of the commit.
    /// @param position Log position of the commit.
    /// @param service Service of the endpoint.
    void recordCommit(const std::string &id, const std::vector<std::string> &writes,
                      std::uint64_t serial, LogPosition position, const std::string &service);
    /// @brief Records that a promotion rolled back a commit.
    void recordRollback(std::uint64_t serial) { rolledBack_.insert(serial); }

    /// @brief Records a commit at an endpoint that has been replaced as primary and does not know
    /// it.
    void recordFormerPrimaryCommit(std::uint64_t serial)
    {
        formerPrimaryCommits_.insert(serial);
        recordRollback(serial);
    }

    /// @brief Executions in the order in which they started.
    [[nodiscard]] const std::vector<PastRun> &runs() const noexcept { return runs_; }
    /// @brief Number of executions of a statement.
    [[nodiscard]] std::size_t timesRun(const std::string &id) const;
    /// @brief Whether the effects of a statement were committed.
    [[nodiscard]] bool wasCommitted(const std::string &id) const
    {
        return commitSerials_.contains(id);
    }
    /// @brief Number of unanswered statements of connected callers.
    [[nodiscard]] std::size_t unanswered() const;
    /// @brief Number of commits that were acknowledged to callers and then rolled back.
    [[nodiscard]] std::size_t acknowledgedLostCount() const;

private:
    /// A transaction, or a statement outside one; a refusal covers the whole attempt.
    struct Attempt
    {
        Instant receivedAt;
        Route route;
        bool refused = false;
        bool transaction = false;
        std::optional<std::uint64_t> endpointTransaction;
        std::set<std::string> services; ///< Services of the route since the attempt began.
        std::vector<std::string> writes;
        std::set<std::string> writesAnswered; ///< Acknowledged in the transaction.
    };

    struct ReceivedStatement
    {
        CallerId caller = 0;
        Statement statement;
        Instant receivedAt;
        std::optional<Route> route;     ///< Route when it became the oldest pending one.
        std::set<std::string> services; ///< Services of the route since then.
        std::shared_ptr<Attempt> attempt;
        bool answered = false;
    };

    /// Session state that a statement requires on its connection.
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

    struct AcknowledgedCommit
    {
        std::uint64_t serial = 0;
        std::uint64_t index = 0;
        Instant at;
        CallerId caller = 0;
    };
    /// Service and log position of a commit.
    struct StoredCommit
    {
        std::string service;
        LogPosition position;
    };

    void refuse(Attempt &attempt);
    void recordRoute(const Caller &caller);
    void checkFreshness(const ReceivedStatement &received, const SimulatedRun &run) const;
    [[nodiscard]] const Route *routeOf(const Caller &caller) const;
    [[nodiscard]] bool writes(const ReceivedStatement &received, const Expected &expected) const;

    std::map<std::string, std::shared_ptr<const DeploymentDocument>> documents_; ///< By host.
    std::map<CallerId, Caller> callers_;
    std::map<std::string, ReceivedStatement> statements_;
    std::map<std::pair<ConnectionId, std::string>, Expected> expected_;
    std::map<std::uint64_t, std::shared_ptr<Attempt>> owners_; ///< By endpoint transaction.
    std::map<std::string, std::uint64_t> commitSerials_;       ///< Serial by write or commit.
    std::map<std::uint64_t, StoredCommit> positions_;          ///< By serial.
    std::set<std::string> started_;                            ///< Writes and commits.
    std::set<std::uint64_t> rolledBack_;
    std::set<std::uint64_t> formerPrimaryCommits_;
    std::map<std::string, std::vector<AcknowledgedCommit>> acknowledged_; ///< By service.
    std::vector<PastRun> runs_;
};

} // namespace hyssoprock::test
