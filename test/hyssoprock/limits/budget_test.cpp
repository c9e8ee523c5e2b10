#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/limits/budget_ledger.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};
constexpr Duration hold = 1500ms;
const std::vector<EndpointLimit> limits{{"orders-1", 35}};

std::uint32_t renew(BudgetAllocator &allocator, const std::string &host, std::uint32_t held,
                    std::uint32_t wanted, Instant now)
{
    const std::vector<BudgetDemand> demand{{"orders-1", held, wanted}};
    const auto grants = allocator.renew(host, demand, limits, now, hold);
    return grants.at(0).connections;
}

} // namespace

// Guards against one busy host that takes all connections: idle hosts still get what they want.
Test(budgetAllocator, dividesByMaxMinFairness)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 100, start), 30);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 10ms), 0);
    // entry-1 is cut back at its next renewal, and the difference is free after the old grant's
    // end.
    cr_assert_eq(renew(allocator, "entry-1", 30, 100, start + 400ms), 26);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 410ms), 0);
    cr_assert_eq(renew(allocator, "entry-2", 0, 4, start + 1501ms), 4);
    cr_assert_eq(allocator.granted("orders-1", start + 1501ms), 30);
}

// Guards against giving a dead host's connections away while it may still have them open.
Test(budgetAllocator, connectionsOfASilentHostAreFreeOnlyAfterExpiry)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 20, start), 20);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 1499ms), 10);
    cr_assert_eq(renew(allocator, "entry-2", 10, 30, start + 1500ms), 30);
}

// Guards against a smaller grant whose answer was lost: the host still uses the greater one.
Test(budgetAllocator, aSmallerGrantDoesNotFreeConnectionsBeforeTheGreaterOneExpires)
{
    BudgetAllocator allocator{5};
    cr_assert_eq(renew(allocator, "entry-1", 0, 20, start), 20);
    cr_assert_eq(renew(allocator, "entry-1", 20, 2, start + 100ms), 2);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 200ms), 10);
}

// Guards against a new leader that hands out connections which its predecessor has granted.
Test(budgetAllocator, aNewLeaderGrantsOnlyWhatHostsHold)
{
    BudgetAllocator allocator{5};
    allocator.reset(start, hold);
    cr_assert_eq(renew(allocator, "entry-1", 12, 30, start + 1ms), 12);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 2ms), 0);
    cr_assert_eq(renew(allocator, "entry-2", 0, 30, start + 1500ms), 15);
}

// Guards against a grant for an endpoint that is unknown or smaller than the reserve.
Test(budgetAllocator, endpointsWithoutRoomGetNoGrant)
{
    BudgetAllocator allocator{5};
    const std::vector<BudgetDemand> demand{{"gone", 3, 3}, {"tiny", 0, 3}};
    const std::vector<EndpointLimit> tiny{{"tiny", 4}};
    const auto grants = allocator.renew("entry-1", demand, tiny, start, hold);
    cr_assert_eq(grants.size(), 1);
    cr_assert_eq(grants.at(0).connections, 0);
}

// Guards against a data centre that is cut off and cannot reach its own replicas, and against
// asking for leased connections in place of the local share.
Test(budgetLedger, theLocalShareOutlivesTheLease)
{
    BudgetLedger ledger;
    ledger.setLocalShare("orders-1", 2);
    ledger.apply({BudgetGrant{"orders-1", 1}}, start + hold);
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert_not(ledger.tryOpen("orders-1", start));
    cr_assert_eq(ledger.demand("orders-1", 2, 0, start).held, 1);
    cr_assert_eq(ledger.demand("orders-1", 2, 0, start).wanted, 3);

    cr_assert_eq(ledger.limit("orders-1", start + hold), 2);
    cr_assert_eq(ledger.excess("orders-1", start + hold), 1);
}

// Guards against connections that outlive the lease or the budget.
Test(budgetLedger, budgetEndsWithTheLease)
{
    BudgetLedger ledger;
    cr_assert_not(ledger.tryOpen("orders-1", start));
    ledger.apply({BudgetGrant{"orders-1", 2}}, start + hold);
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert(ledger.tryOpen("orders-1", start));
    cr_assert_not(ledger.tryOpen("orders-1", start));
    cr_assert_eq(ledger.excess("orders-1", start), 0);

    ledger.apply({BudgetGrant{"orders-1", 1}}, start + hold);
    cr_assert_eq(ledger.excess("orders-1", start), 1);
    ledger.recordClosed("orders-1");
    cr_assert_eq(ledger.excess("orders-1", start), 0);
    cr_assert_eq(ledger.excess("orders-1", start + hold), 1);
    const auto demand = ledger.demand("orders-1", 3, 1, start);
    cr_assert_eq(demand.held, 1);
    cr_assert_eq(demand.wanted, 5);
}
