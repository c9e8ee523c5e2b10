#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the promotion module.

namespace hyssoprock {

enum class EndpointOperation : std::uint8_t;
enum class PromotionOutcome : std::uint8_t;
enum class PromotionStage : std::uint8_t;
class PromotionClient;
class PromotionController;
class PromotionMetrics;
class ReachabilityVotes;
struct EndpointStatusRow;
struct PromotionCounters;
struct PromotionSettings;
struct ReachabilityCount;

} // namespace hyssoprock

namespace hyssoprock::promotion {

struct RequestEvidence;
struct CallCompleted;
struct SendPromotionCall;
struct SendOperation;
struct DocumentChanged;
struct EndpointsRemoved;
struct EntryHostsChanged;
struct EvidenceReceived;
struct LeadershipGained;
struct LeadershipLost;
struct LogDecision;
struct MembersProposalCompleted;
struct AnnouncePrimary;
struct OrderProposalCompleted;
struct PrimaryReleased;
struct Propose;
struct RegistryChanged;
struct ResumeProposalCompleted;
struct SettlementProposalCompleted;
struct OperationCompleted;
struct Tick;

} // namespace hyssoprock::promotion
