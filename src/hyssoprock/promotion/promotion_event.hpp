#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/promotion/endpoint_status_row.hpp>
#include <hyssoprock/promotion/promotion_client.hpp>

/// @file
/// @brief Events and actions of the PromotionController.

namespace hyssoprock {

namespace promotion {

/// @brief This host has become the control leader and has applied all commits before its term.
struct LeadershipGained
{
    std::vector<PromotionRecord> promotions; ///< Newest order for each service.
    std::vector<ResumeRecord> resumes;       ///< Resumes that may still be carried out.
};

/// @brief This host is not the control leader any more.
struct LeadershipLost
{};

/// @brief The registry has taken a newer heartbeat or ended an incarnation.
struct RegistryChanged
{
    std::string service; ///< Service of the endpoint.
};

/// @brief Incarnations have ended, of whichever service.
struct EndpointsRemoved
{};

/// @brief An entry host reports on an endpoint.
struct EvidenceReceived
{
    EvidenceReport report;
};

/// @brief The set of entry hosts that are connected to this host has changed.
struct EntryHostsChanged
{
    std::vector<std::string> hosts; ///< Names.
};

/// @brief The applied document has changed.
struct DocumentChanged
{
    std::map<std::string, std::uint32_t> synchronousReplicas; ///< By service, if not 0.
};

/// @brief An order to an endpoint has ended.
struct OperationCompleted
{
    std::uint64_t operationId = 0;        ///< Copied from the action.
    std::string endpoint;                 ///< Identifier.
    std::optional<EndpointStatusRow> row; ///< Nothing if no valid answer came.
    bool responded = false;               ///< The endpoint answered, but perhaps without a row.
    bool mayTakeEffect =
        false; ///< Without a row: the endpoint may have carried it out, or may yet.
};

/// @brief An order was committed, or was not.
struct OrderProposalCompleted
{
    std::string service;                ///< Service.
    std::uint64_t proposalId = 0;       ///< Copied from the action.
    std::optional<std::uint64_t> token; ///< Its fencing token; nothing if it may not be committed.
};

/// @brief A settlement was committed, or was not.
struct SettlementProposalCompleted
{
    std::string service;     ///< Service.
    std::uint64_t token = 0; ///< Token that was settled.
    bool committed = false;  ///< Whether it is committed for certain.
};

/// @brief An intended or finished resume was committed, or was not.
struct ResumeProposalCompleted
{
    std::string service;          ///< Service.
    std::uint64_t proposalId = 0; ///< Copied from the action.
    bool committed = false;       ///< Whether it is committed for certain.
};

/// @brief A promotion call has ended.
struct CallCompleted
{
    std::string service;                                   ///< Service.
    std::string endpoint;                                  ///< Target.
    std::uint64_t token = 0;                               ///< Token of the call.
    PromotionOutcome outcome = PromotionOutcome::NoAnswer; ///< How it ended.
};

/// @brief Time has passed; due at PromotionController::nextDeadline() at the latest.
struct Tick
{};

/// @brief Ask all connected entry hosts whether they reach an endpoint.
struct RequestEvidence
{
    std::string service;
    std::string endpoint;
};

/// @brief Send an order to an endpoint; ends in OperationCompleted.
struct SendOperation
{
    std::uint64_t operationId = 0; ///< Names the round of orders.
    std::string service;
    std::string endpoint;
    std::string address;
    EndpointOperation operation = EndpointOperation::Status;
    std::uint64_t term = 0; ///< Pause, StepDown: the term.
};

/// @brief Propose a command; ends in OrderProposalCompleted, SettlementProposalCompleted or
/// ResumeProposalCompleted.
struct Propose
{
    std::uint64_t proposalId = 0; ///< Names the proposal.
    ControlCommand command;
};

/// @brief Call the platform; ends in CallCompleted.
struct SendPromotionCall
{
    std::string service;
    std::string endpoint;
    std::uint64_t token = 0;
};

/// @brief Tell all entry hosts who is primary.
struct AnnouncePrimary
{
    PrimaryRecord primary;
};

/// @brief Write a log line; text with its prefix.
struct LogDecision
{
    std::string text;
};

} // namespace promotion

/// @brief Event of a PromotionController.
using PromotionEvent =
    std::variant<promotion::LeadershipGained, promotion::LeadershipLost, promotion::RegistryChanged,
                 promotion::EndpointsRemoved, promotion::EvidenceReceived,
                 promotion::EntryHostsChanged, promotion::OperationCompleted,
                 promotion::OrderProposalCompleted, promotion::SettlementProposalCompleted,
                 promotion::ResumeProposalCompleted, promotion::CallCompleted,
                 promotion::DocumentChanged, promotion::Tick>;

/// @brief Action of a PromotionController.
using PromotionAction =
    std::variant<promotion::RequestEvidence, promotion::SendOperation, promotion::Propose,
                 promotion::SendPromotionCall, promotion::AnnouncePrimary, promotion::LogDecision>;

/// @brief Actions in the order in which they must be carried out.
using PromotionActions = std::vector<PromotionAction>;

} // namespace hyssoprock
