#pragma once

#include <hyssoprock/request/session_machine.hpp>

/// @file
/// @brief The request that a session machine is working on. Not part of the interface.

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
    /// Where the primary was when the chosen version was not complete there.
    std::optional<LogPosition> incompleteAt{};
    bool checkVersions = false; ///< Values of schema_version must be among choice.versions.

    bool insertId = false; ///< Its id has to be written with it.
    bool wrap = false;     ///< Sent in a transaction of its own, with its id.

    Instant arrived{};
    std::optional<Instant> notBefore{};
    std::optional<std::uint64_t> fencedTerm{}; ///< Its primary accepts no writes any more.
    bool patient = false;                      ///< Waits as long as an election may take.
    ErrorKind lastRefusal = ErrorKind::DeadlineExceeded;
    std::uint32_t attempts = 0;

    std::optional<AcquireId> acquire{};
    RoutingDecision decision{};
    std::optional<Instant> statementDeadline{};

    std::string answeredBy{};
    bool fromPrimary = false;
    std::uint64_t sentTerm = 0; ///< Newest term in which it could have run.
    std::string sentTo{};
    bool connectionEnded = false; ///< The endpoint's side has ended the connection that it was on.
    std::string settleId{};       ///< Request id that settles an unknown outcome.
    bool idReliable = true;       ///< False if a savepoint could have removed the id.
    std::optional<EndpointAnswer> answer{};
    TransactionState statusAfter = TransactionState::Idle;
    std::optional<AnswerPart> part{}; ///< Waits to be passed on.
    bool watching = false;
    std::optional<Instant> ackDeadline{};

    std::optional<internal::Settlement> settlement{};
};

} // namespace hyssoprock
