#pragma once

/// @file
/// @brief Forward declarations of the limits module.

namespace hyssoprock {

class AdmissionQueue;
class BudgetAllocator;
class BudgetLedger;
class EjectionTracker;
class OpeningPacer;
class RetryBudget;
class StatementQueue;
struct EndpointLimit;
struct OfferResult;
struct WaitingRequest;
struct WaitingStatement;

} // namespace hyssoprock
