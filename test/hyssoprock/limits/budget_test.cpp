#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/limits/budget_ledger.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};
constexpr Duration grantLifetime = 1500ms;
const std::vector<EndpointLimit> limits{{"orders-1", 35}};

std::uint32_t renew(BudgetAllocator &allocator, const std::string &host, std::uint32_t held,
                    std::uint32_t wanted, Instant now)
{
    const std::vector<BudgetDemand> demand{{"orders-1", held, wanted}};
    const auto grants = allocator.renew(host, demand, limits, now, grantLifetime);
    return grants.at(0).connections;
}

} // namespace

// Guards against a busy host that is granted all connections while others want a few.
Test(budgetAllocator, dividesByMaxMinFairness)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 100, start), 30);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 10ms), 0);
    // entry-1 gets a smaller grant at its next renewal, and the difference becomes available when
    // the old grant expires.
    cr_assert_eq(renew(allocator, "entry-1", 30, 100, start + 400ms), 26);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 410ms), 0);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 1501ms), 4);
    cr_assert_eq(allocator.granted("orders-1", start + 1501ms), 30);
}

// Guards against granting a failed host's connections to others while it may still use them.
Test(budgetAllocator, connectionsOfASilentHostAreFreeOnlyAfterExpiry)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 20, start), 20);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 1499ms), 10);
    cr_assert_eq(renew(allocator, "entry-2", 10, 30, start + 1500ms), 30);
}

// Guards against freeing connections after a smaller grant that was lost, so that the host still
// uses the greater one.
Test(budgetAllocator, aSmallerGrantDoesNotFreeConnectionsBeforeTheGreaterOneExpires)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 20, start), 20);
    cr_assert_eq(renew(allocator, "entry-1", 20, 2, start + 100ms), 2);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 200ms), 10);
}

// Guards against a new leader that grants connections which its predecessor has granted already.
Test(budgetAllocator, aNewLeaderGrantsOnlyWhatHostsHold)
{
    BudgetAllocator allocator{5};
    allocator.reset(start, grantLifetime);
    cr_assert_eq(renew(allocator, "entry-1", 12, 30, start + 1ms), 12);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 2ms), 0);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 1500ms), 15);
}

// Guards against a grant for an endpoint that is unknown or has fewer connections than the reserve.
Test(budgetAllocator, endpointsWithoutRoomGetNoGrant)
{
    BudgetAllocator allocator{5};
    const std::vector<BudgetDemand> demand{{"gone", 3, 3}, {"tiny", 0, 3}};
    const std::vector<EndpointLimit> tiny{{"tiny", 4}};
    const auto grants = allocator.renew("entry-1", demand, tiny, start, grantLifetime);
    cr_assert_eq(grants.size(), 1);
    cr_assert_eq(grants.at(0).connections, 0);
}

// Guards against an isolated data centre that cannot use its own replicas, and against a demand
// that includes the local share.
Test(budgetLedger, theLocalShareOutlivesTheLease)
{
    BudgetLedger ledger;
    ledger.setLocalShare("orders-1", 2);
    ledger.apply({BudgetGrant{"orders-1", 1}}, start + grantLifetime);
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert_not(ledger.tryOpen("orders-1", start));
    cr_assert_eq(ledger.demand("orders-1", 2, 0, start).held, 1);
    cr_assert_eq(ledger.demand("orders-1", 2, 0, start).wanted, 3);

    cr_assert_eq(ledger.limit("orders-1", start + grantLifetime), 2);
    cr_assert_eq(ledger.excess("orders-1", start + grantLifetime), 1);
}

// Guards against connections that outlive the lease or the budget.
Test(budgetLedger, budgetEndsWithTheLease)
{
    BudgetLedger ledger;
    cr_assert_not(ledger.tryOpen("orders-1", start));
    ledger.apply({BudgetGrant{"orders-1", 2}}, start + grantLifetime);
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert_not(ledger.tryOpen("orders-1", start));
    cr_assert_eq(ledger.excess("orders-1", start), 0);

    ledger.apply({BudgetGrant{"orders-1", 1}}, start + grantLifetime);
    cr_assert_eq(ledger.excess("orders-1", start), 1);
    ledger.recordClosed("orders-1");
    cr_assert_eq(ledger.excess("orders-1", start), 0);
    cr_assert_eq(ledger.excess("orders-1", start + grantLifetime), 1);
    const auto demand = ledger.demand("orders-1", 3, 1, start);
    cr_assert_eq(demand.held, 1);
    cr_assert_eq(demand.wanted, 5);
}
