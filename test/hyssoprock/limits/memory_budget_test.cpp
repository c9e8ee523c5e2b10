#include <criterion/criterion.h>

#include <hyssoprock/limits/memory_budget.hpp>

using namespace hyssoprock;
using Ids = std::vector<std::uint64_t>;

namespace {

constexpr std::size_t kib = 1024;
// Reading stops at 750 KiB.
constexpr MemoryBounds bounds{1000 * kib, 400 * kib, 600 * kib};

} // namespace

// Guards against stalled large messages that keep ordinary statements from being read.
Test(memoryBudget, largeAccountsStopBeforeOrdinaryOnes)
{
    MemoryBudget budget{bounds};
    cr_assert(budget.charge(1, {}, 500 * kib).mayRead);
    cr_assert(!budget.charge(2, {}, 300 * kib).mayRead);
    cr_assert(budget.charge(3, {}, 10 * kib).mayRead);
    cr_assert(budget.admits());
    budget.release(1);
    cr_assert(budget.mayRead(2));
}

// Guards against a process that grows beyond its memory, and against closing those that work.
Test(memoryBudget, closesTheLargestThatDoLeast)
{
    MemoryBudget budget{bounds};
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        cr_assert(budget.charge(id, {}, 300 * kib).toClose.empty());
    }
    budget.recordWork(3);
    budget.recordWork(2);
    cr_assert_eq(budget.charge(4, {}, 101 * kib).toClose, Ids{1});
    cr_assert_eq(budget.total(), 701 * kib);
    cr_assert_eq(budget.makeRoom(), Ids{});
}

// Guards against callers that wait for memory for ever, because those that hold it do nothing.
Test(memoryBudget, makesRoomDownToTheBoundAtWhichReadingGoesOn)
{
    MemoryBudget budget{bounds};
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        (void)budget.charge(id, {}, 300 * kib);
    }
    cr_assert_eq(budget.makeRoom(), Ids{3});
    cr_assert(budget.mayRead(1));
}

// Guards against one team that uses up the memory of all, and against one huge connection.
Test(memoryBudget, boundsEachTeamAndConnection)
{
    MemoryBudget budget{bounds};
    cr_assert_eq(budget.charge(1, {}, 601 * kib).toClose, Ids{1});
    (void)budget.charge(2, {}, 250 * kib);
    (void)budget.charge(3, "a", 200 * kib);
    cr_assert_eq(budget.charge(4, "a", 201 * kib).toClose, Ids{4});
    cr_assert_eq(budget.charge(3, "b", 100 * kib).toClose, Ids{});
    cr_assert_eq(budget.total(), 350 * kib);
}
