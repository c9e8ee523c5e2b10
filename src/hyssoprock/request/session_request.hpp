#pragma once

#include <hyssoprock/request/session_machine.hpp>

/// @file
/// @brief Current request of a session machine. Internal header.

namespace hyssoprock {

struct SessionMachine::Request
{
    std::uint64_t id = 0;
    Statement statement{};
    StatementProperties properties{};
    RequestAttributes attributes{};
    RequestMachine machine;
    std::shared_ptr<const Configuration> configuration{};
    ReadRequirements requirements{};
    SchemaChoice choice{};
    /// Position of the primary at which the chosen schema version was not complete.
    std::optional<LogPosition> incompletePosition{};
    bool checkVersions = false; ///< Check that each schema_version is in choice.versions.

    bool insertRequestId = false;   ///< Record the request id together with the statement.
    bool wrapInTransaction = false; ///< Send it in its own transaction, with the id record.

    Instant arrivedAt{};
    std::optional<Instant> retryAt{};
    std::optional<std::uint64_t> fencedTerm{}; ///< Term whose primary rejected the request.
    bool waitsForElection = false;             ///< Use the election deadline.
    ErrorKind lastRefusal = ErrorKind::DeadlineExceeded;
    std::uint32_t attempts = 0;

    std::optional<AcquireId> acquire{};
    RoutingDecision decision{};
    std::optional<Instant> statementDeadline{};

    std::string answeredBy{};
    bool fromPrimary = false;
    std::uint64_t newestSentTerm = 0; ///< Newest term in which it could have run.
    std::string sentTo{};
    bool connectionEnded = false;      ///< The endpoint closed the connection that it was sent on.
    std::string settlementRequestId{}; ///< Request id used to look up an unknown outcome.
    bool requestIdReliable = true;     ///< False if a savepoint may have removed the id.
    std::optional<EndpointAnswer> answer{};
    TransactionState statusAfter = TransactionState::Idle;
    std::optional<AnswerPart> part{}; ///< Rows that are not forwarded yet.
    bool awaitingMajority = false;
    std::optional<Instant> ackDeadline{};

    std::optional<internal::Settlement> settlement{};
};

} // namespace hyssoprock
