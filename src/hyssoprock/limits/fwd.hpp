#pragma once

/// @file
/// @brief Forward declarations of the limits module.

namespace hyssoprock {

class AdmissionQueue;
class AllowanceOwner;
class AllowanceRequester;
class BudgetAllocator;
class BudgetLedger;
class EjectionTracker;
class MemoryBudget;
class OpeningPacer;
class RetryBudget;
class StatementQueue;
struct AddressedAllowanceRequest;
struct AllowanceActions;
struct AllowanceDecision;
struct EndpointLimit;
struct MemoryBounds;
struct MemoryDecision;
struct OfferResult;
struct VoterView;
struct WaitingRequest;
struct WaitingStatement;

} // namespace hyssoprock
