#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/pooling/pooler.hpp>

#include "caller_expectations.hpp"
#include "endpoint_group_simulation.hpp"

/// @file
/// @brief Simulation of a Pooler between callers and a group of endpoints.

namespace hyssoprock::test {

/// @brief Parses a statement in the syntax of platform/protocol.md.
[[nodiscard]] Statement parseStatement(std::string id, std::string_view text);

/// @brief Records the actions that a Pooler has returned for an event in eventDigest().
/// @param host Name of the Pooler's host.
void recordInDigest(std::string_view host, Instant now, std::size_t eventIndex,
                    const PoolerActions &actions);

/// @brief Document with one service and the databases "primary", "bounded" and "own", one for each
/// read consistency.
[[nodiscard]] DeploymentDocument
makeThreeRouteDocument(Duration staleness = std::chrono::milliseconds{500});

/// @brief Connects a Pooler to simulated callers and endpoints in simulated time.
class PoolerWorld
{
public:
    /// @brief Announces the document, the endpoints and the primary to the Pooler.
    explicit PoolerWorld(std::uint64_t seed = 1, GroupSettings settings = {},
                         DeploymentDocument document = makeThreeRouteDocument(),
                         bool leasedPrimaries = false, Admission admission = Admission::Priority,
                         bool evenBalancing = false);

    CallerId connect(const std::string &database, const std::string &key = "user");
    /// @brief Sends a statement.
    /// @return Identifier of the statement.
    std::string send(CallerId caller, std::string_view text);
    void disconnect(CallerId caller);
    /// @brief Teams under which a statement was run, in the order of its runs.
    [[nodiscard]] std::vector<std::string> teamsOf(const std::string &id) const;
    /// @brief Sends a statement and runs the simulation until it is answered, at most 20 s.
    StatementAnswer sendAndWait(CallerId caller, std::string_view text);
    /// @brief Advances the simulation by a duration.
    void run(Duration time);
    /// @brief Passes an event to the Pooler and executes the resulting actions.
    void handle(PoolerEvent event);
    /// @brief Notifies the Pooler of the running endpoints.
    void announceEndpoints();
    /// @brief Notifies the Pooler of the current primary, with a new epoch.
    void announcePrimary();
    /// @brief Notifies the Pooler that the primary is withdrawn, with a new epoch.
    void withdrawPrimary();
    /// @brief Passes a document to the Pooler.
    void announce(DeploymentDocument document);
    /// @brief Promotes an endpoint and announces it.
    void promote(const std::string &id);

    /// @brief Answer to a statement; null if it is not answered.
    [[nodiscard]] const StatementAnswer *answer(const std::string &id) const;
    /// @brief Endpoint that ran a statement last; empty if none did.
    [[nodiscard]] std::string lastEndpointOf(const std::string &id) const;
    /// @brief Identifier of the last statement that sendAndWait() sent.
    [[nodiscard]] const std::string &lastId() const noexcept { return lastId_; }
    [[nodiscard]] bool isConnected(CallerId caller) const { return callers_.contains(caller); }
    /// @brief Number of unanswered statements of a caller.
    [[nodiscard]] std::size_t unansweredCount(CallerId caller) const;

    Instant now{std::chrono::seconds{100}};                  ///< Current time.
    CallerExpectations expectations;                         ///< Checks of statements and answers.
    EndpointGroupSimulation group;                           ///< Simulated endpoints.
    Pooler pooler;                                           ///< Pooler under test.
    std::vector<pooler::ReportEvidence> reports;             ///< Evidence reports.
    std::vector<pooler::PrimaryReleased> releases;           ///< Released primaries.
    std::vector<pooler::RequestAllowance> allowanceRequests; ///< Requests for allowances.
    std::map<AnswerKind, std::size_t> answerCounts;          ///< Answers to callers by kind.
    std::map<CallerId, TransactionState> states;             ///< State in the last answer.
    std::map<CallerId, AnswerKind> refusals;                 ///< Reasons of refused connections.
    bool finished = false;   ///< Whether the Pooler has completed its shutdown.
    std::uint64_t steps = 0; ///< Events handled.

private:
    struct Client
    {
        std::deque<std::string> unanswered;
    };

    void execute(const PoolerActions &actions);

    std::map<CallerId, Client> callers_;
    std::map<std::string, StatementAnswer> answers_;
    std::set<CallerId> accepted_;
    CallerId nextCaller_ = 1;
    std::uint64_t nextStatement_ = 1;
    std::uint64_t epoch_ = 0;
    std::string lastId_;
};

} // namespace hyssoprock::test
