#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the limits module.

namespace hyssoprock {

struct EndpointLimit;
struct WaitingRequest;
struct OfferResult;
class BudgetAllocator;
class BudgetLedger;
class AdmissionQueue;
class RetryBudget;
class EjectionTracker;

} // namespace hyssoprock
