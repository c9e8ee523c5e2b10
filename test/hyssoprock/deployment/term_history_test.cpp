#include <criterion/criterion.h>

#include <hyssoprock/deployment/term_history.hpp>

using namespace hyssoprock;

// Guards against a log that is preferred although it lacks a newer term: its tail was given up by
// an older promotion, of whose term it has no entry either.
Test(termHistory, olderPromotionsStillDecide)
{
    std::vector<TermStart> known;
    recordTermStart(known, {2, {1, 310}});
    recordTermStart(known, {3, {2, 400}});
    cr_assert(holdsGivenUpEntries(known, {1, 311}));
    cr_assert(!holdsGivenUpEntries(known, {1, 310}));
    cr_assert(holdsGivenUpEntries(known, {2, 401}));
    cr_assert(!holdsGivenUpEntries(known, {2, 400}));
    cr_assert(!holdsGivenUpEntries(known, {3, 500}));
}

// Guards against a history that grows with each promotion, and against the loss of a start that
// still decides.
Test(termHistory, anEarlierStartReplacesLaterOnesOfOlderTerms)
{
    std::vector<TermStart> known;
    recordTermStart(known, {0, {9, 9}});
    cr_assert(known.empty());
    recordTermStart(known, {2, {1, 310}});
    recordTermStart(known, {3, {1, 300}});
    cr_assert_eq(known.size(), 1U);
    cr_assert(holdsGivenUpEntries(known, {1, 305}));
    cr_assert(holdsGivenUpEntries(known, {2, 311}));
    for (std::uint64_t term = 4; term < 100; ++term) {
        recordTermStart(known, {term, {term - 1, 400 + term}});
    }
    cr_assert_leq(known.size(), 16U);
    cr_assert(holdsGivenUpEntries(known, {98, 500}));
}
