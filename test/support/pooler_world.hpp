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
/// @brief A Pooler between simulated callers and a simulated group of endpoints.

namespace hyssoprock::test {

/// @brief Statement with the text that callers send, as in platform/protocol.md.
[[nodiscard]] Statement statementOf(std::string id, std::string_view text);

/// @brief Document with the databases "primary", "bounded" and "own" over one service.
[[nodiscard]] DeploymentDocument threeRules(Duration staleness = std::chrono::milliseconds{500});

/// @brief Connects a Pooler with callers and endpoints in simulated time.
class PoolerWorld
{
public:
    /// @brief Starts with the document, endpoints and primary in force.
    explicit PoolerWorld(std::uint64_t seed = 1, GroupSettings settings = {},
                         DeploymentDocument document = threeRules());

    /// @brief Connects a caller.
    CallerId connect(const std::string &database);
    /// @brief Sends a statement.
    /// @return Its identifier.
    std::string send(CallerId caller, std::string_view text);
    /// @brief Ends a caller's connection.
    void leave(CallerId caller);
    /// @brief Sends a statement and lets time pass until it is answered, at most 20 s.
    StatementAnswer ask(CallerId caller, std::string_view text);
    /// @brief Lets time pass.
    void run(Duration time);
    /// @brief Hands an event to the Pooler.
    void handle(PoolerEvent event);
    /// @brief Tells the Pooler of the endpoints that are up.
    void announceEndpoints();
    /// @brief Tells the Pooler of the present primary.
    void announcePrimary();
    /// @brief Puts a document in force.
    void announce(DeploymentDocument document);
    /// @brief Promotes an endpoint and announces it.
    void promote(const std::string &id);

    /// @brief Answer to a statement, if it has arrived.
    [[nodiscard]] const StatementAnswer *answer(const std::string &id) const;
    /// @brief Endpoint that ran a statement last; empty if none did.
    [[nodiscard]] std::string ranAt(const std::string &id) const;
    /// @brief Identifier of the last statement that ask() sent.
    [[nodiscard]] const std::string &lastId() const noexcept { return lastId_; }
    /// @brief Whether a caller is connected.
    [[nodiscard]] bool connected(CallerId caller) const { return callers_.contains(caller); }
    /// @brief Statements of a caller that are not answered.
    [[nodiscard]] std::size_t waiting(CallerId caller) const;

    Instant now{std::chrono::seconds{100}};         ///< Present time.
    CallerExpectations expectations;                ///< Checks.
    EndpointGroupSimulation group;                  ///< Endpoints.
    Pooler pooler;                                  ///< Under test.
    std::vector<pooler::ReportEvidence> reports;    ///< Evidence reports.
    std::map<AnswerKind, std::size_t> answerCounts; ///< Answers to callers by kind.
    std::map<CallerId, TransactionState> states;    ///< Told by the last answer.
    std::map<CallerId, AnswerKind> refusals;        ///< Refused startups.
    bool finished = false;                          ///< The Pooler may end.
    std::uint64_t steps = 0;                        ///< Events handled.

private:
    struct Client
    {
        std::deque<std::string> unanswered;
    };

    void carryOut(const PoolerActions &actions);

    std::map<CallerId, Client> callers_;
    std::map<std::string, StatementAnswer> answers_;
    std::set<CallerId> accepted_;
    CallerId nextCaller_ = 1;
    std::uint64_t nextStatement_ = 1;
    std::uint64_t epoch_ = 0;
    std::string lastId_;
};

} // namespace hyssoprock::test
