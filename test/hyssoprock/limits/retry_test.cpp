#include <criterion/criterion.h>

#include <hyssoprock/limits/ejection_tracker.hpp>
#include <hyssoprock/limits/exponential_step.hpp>
#include <hyssoprock/limits/retry_budget.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};

int spendAll(RetryBudget &budget)
{
    int retries = 0;
    while (budget.trySpend()) {
        ++retries;
    }
    return retries;
}

} // namespace

// Guards against retries that multiply the load while all requests fail.
Test(retryBudget, allowsAShareOfTheSuccesses)
{
    RetryBudget budget{10};
    cr_assert_eq(spendAll(budget), 20);
    for (int i = 0; i < 95; ++i) {
        budget.recordSuccess();
    }
    cr_assert_eq(budget.available(), 9);
    cr_assert_eq(spendAll(budget), 9);
}

// Guards against a delay that overflows or grows without bound after many failures.
Test(exponentialBackoff, doublesUpToItsBound)
{
    cr_assert_eq(exponentialBackoff(50ms, 0, 4).count(), Duration{50ms}.count());
    cr_assert_eq(exponentialBackoff(50ms, 3, 4).count(), Duration{400ms}.count());
    cr_assert_eq(exponentialBackoff(50ms, 4'000'000'000U, 4).count(), Duration{800ms}.count());
}

// Guards against ejection after a single failure, and against a flapping endpoint that is
// readmitted too early.
Test(ejectionTracker, ejectsAfterARunAndLongerEachTime)
{
    EjectionTracker tracker{3, 500ms};
    cr_assert_not(tracker.recordFailure("a", start));
    cr_assert_not(tracker.recordFailure("a", start));
    cr_assert(tracker.recordFailure("a", start));
    cr_assert(tracker.ejected("a", start + 499ms));
    cr_assert_not(tracker.ejected("a", start + 500ms));
    tracker.recordSuccess("a");
    cr_assert(tracker.recordFailure("a", start + 600ms));
    cr_assert(tracker.ejected("a", start + 1599ms));
    cr_assert_not(tracker.ejected("a", start + 1600ms));
}

// Guards against an endpoint that keeps its failure record after it has recovered.
Test(ejectionTracker, aRunOfSuccessesClearsTheRecord)
{
    EjectionTracker tracker{2, 500ms};
    (void)tracker.recordFailure("a", start);
    (void)tracker.recordFailure("a", start);
    for (int i = 0; i < 10; ++i) {
        tracker.recordSuccess("a");
    }
    cr_assert_not(tracker.recordFailure("a", start + 1s));
    cr_assert_not(tracker.ejected("a", start + 1s));
}
