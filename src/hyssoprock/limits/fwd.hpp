#pragma once

/// @file
/// @brief Forward declarations of the limits module.

namespace hyssoprock {

class AdmissionQueue;
class BudgetAllocator;
class BudgetLedger;
class EjectionTracker;
class RetryBudget;
struct EndpointLimit;
struct OfferResult;
struct WaitingRequest;

} // namespace hyssoprock
