#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the promotion module.

namespace hyssoprock {

enum class EndpointOrder : std::uint8_t;
enum class PromotionOutcome : std::uint8_t;
enum class PromotionPart : std::uint8_t;
class PromotionCaller;
class PromotionController;
class PromotionTimes;
class ReachabilityVotes;
struct EndpointStatusRow;
struct PromotionCounters;
struct ReachabilityCount;

} // namespace hyssoprock

namespace hyssoprock::promotion {

struct AskEvidence;
struct CallEnded;
struct CallPromotion;
struct CommandEndpoint;
struct DocumentChanged;
struct EndpointsGone;
struct EntryHostsChanged;
struct EvidenceArrived;
struct LeadershipGained;
struct LeadershipLost;
struct LogDecision;
struct NamePrimary;
struct OrderEnded;
struct Propose;
struct RegistryChanged;
struct ResumeRecorded;
struct SettlementEnded;
struct StatusArrived;
struct Tick;

} // namespace hyssoprock::promotion
