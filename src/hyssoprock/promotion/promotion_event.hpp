#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/control_state.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/promotion/endpoint_status_row.hpp>
#include <hyssoprock/promotion/promotion_client.hpp>

/// @file
/// @brief Events and actions of PromotionController.

namespace hyssoprock {

namespace promotion {

/// @brief This host has become the control leader and has applied all entries committed before its
/// term.
struct LeadershipGained
{
    std::vector<PromotionRecord> promotions; ///< Newest order of each service.
    std::vector<ResumeRecord> resumes;       ///< Resumes that may still take effect.
    /// By service with an unsettled order: when this host learned of the first order since the last
    /// settled one.
    std::map<std::string, Instant> unsettledSince{};
    std::map<std::string, ServiceMembers> members{}; ///< Recorded members by service.
    /// Starts of terms by service.
    std::map<std::string, TermStartsRecord> termStarts{};
};

/// @brief This host is no longer the control leader.
struct LeadershipLost
{};

/// @brief The registry has processed a newer heartbeat or ended an incarnation.
struct RegistryChanged
{
    std::string service;
};

/// @brief Incarnations of any service have ended.
struct EndpointsRemoved
{};

/// @brief An entry host has reported whether it reaches an endpoint.
struct EvidenceReceived
{
    EvidenceReport report;
};

/// @brief The set of entry hosts connected to this host has changed.
struct EntryHostsChanged
{
    std::vector<std::string> hosts; ///< Names of all connected entry hosts.
};

/// @brief A new deployment document is in force.
struct DocumentChanged
{
    std::map<std::string, std::uint32_t> synchronousReplicas; ///< By service, if not 0.
};

/// @brief An entry host has released the withdrawn primary of a service.
struct PrimaryReleased
{
    std::string service;
};

/// @brief An operation on an endpoint has completed or failed.
struct OperationCompleted
{
    std::uint64_t operationId = 0; ///< Identifier from SendOperation.
    std::string endpoint;
    std::optional<EndpointStatusRow> row; ///< Empty if no valid answer was received.
    bool responded = false;               ///< The endpoint answered, possibly without a status row.
    bool mayTakeEffect = false; ///< Without a row: may have been executed, or may be later.
};

/// @brief The proposal of an order was committed or has failed.
struct OrderProposalCompleted
{
    std::string service;
    std::uint64_t proposalId = 0;       ///< Identifier from Propose.
    std::optional<std::uint64_t> token; ///< Fencing token; empty if not known to be committed.
};

/// @brief The proposal of a settlement was committed or has failed.
struct SettlementProposalCompleted
{
    std::string service;
    std::uint64_t token = 0; ///< Token of the settled order.
    bool committed = false;  ///< False if the outcome is unknown.
};

/// @brief The proposal of an intended or finished resume was committed or has failed.
struct ResumeProposalCompleted
{
    std::string service;
    std::uint64_t proposalId = 0; ///< Identifier from Propose.
    bool committed = false;       ///< False if the outcome is unknown.
};

/// @brief The proposal of recorded or forgotten members was committed or has failed.
struct MembersProposalCompleted
{
    std::string service;
    std::uint64_t proposalId = 0; ///< Identifier from Propose.
    bool committed = false;       ///< False if the outcome is unknown.
};

/// @brief A promotion call has completed.
struct CallCompleted
{
    std::string service;
    std::string endpoint; ///< Target of the call.
    std::uint64_t token = 0;
    PromotionOutcome outcome = PromotionOutcome::NoAnswer;
};

/// @brief Time has passed. Due no later than PromotionController::nextDeadline().
struct Tick
{};

/// @brief Asks entry hosts whether they reach an endpoint.
struct RequestEvidence
{
    std::string service;
    std::string endpoint;
    std::vector<std::string> hosts{}; ///< Entry hosts to ask; empty for all that are connected.
};

/// @brief Sends an operation to an endpoint; answered by OperationCompleted.
struct SendOperation
{
    std::uint64_t operationId = 0; ///< Shared by all operations of a round.
    std::string service;
    std::string endpoint;
    std::string address;
    EndpointOperation operation = EndpointOperation::Status;
    std::uint64_t term = 0; ///< Term for Pause and StepDown.
};

/// @brief Proposes a command; answered by OrderProposalCompleted, SettlementProposalCompleted,
/// ResumeProposalCompleted or MembersProposalCompleted.
struct Propose
{
    std::uint64_t proposalId = 0;
    ControlCommand command;
};

/// @brief Calls the platform; answered by CallCompleted.
struct SendPromotionCall
{
    std::string service;
    std::string endpoint;
    std::uint64_t token = 0;
};

/// @brief Announces the primary of a service to all entry hosts.
struct AnnouncePrimary
{
    PrimaryRecord primary;
};

/// @brief Writes a log line. The text includes the log prefix.
struct LogDecision
{
    std::string text;
};

} // namespace promotion

/// @brief Event of a PromotionController.
using PromotionEvent =
    std::variant<promotion::LeadershipGained, promotion::LeadershipLost, promotion::RegistryChanged,
                 promotion::EndpointsRemoved, promotion::EvidenceReceived,
                 promotion::EntryHostsChanged, promotion::PrimaryReleased,
                 promotion::OperationCompleted, promotion::OrderProposalCompleted,
                 promotion::SettlementProposalCompleted, promotion::ResumeProposalCompleted,
                 promotion::MembersProposalCompleted, promotion::CallCompleted,
                 promotion::DocumentChanged, promotion::Tick>;

/// @brief Action of a PromotionController.
using PromotionAction =
    std::variant<promotion::RequestEvidence, promotion::SendOperation, promotion::Propose,
                 promotion::SendPromotionCall, promotion::AnnouncePrimary, promotion::LogDecision>;

/// @brief Actions in execution order.
using PromotionActions = std::vector<PromotionAction>;

} // namespace hyssoprock
