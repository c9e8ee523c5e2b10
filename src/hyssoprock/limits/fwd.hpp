#pragma once

/// @file
/// @brief Forward declarations of the limits module.

namespace hyssoprock {

class AdmissionQueue;
class BudgetAllocator;
class BudgetLedger;
class EjectionTracker;
class MemoryBudget;
class RetryBudget;
struct EndpointLimit;
struct MemoryBounds;
struct MemoryDecision;
struct OfferResult;
struct WaitingRequest;

} // namespace hyssoprock
