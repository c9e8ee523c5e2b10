#include <set>
#include <string_view>

#include <criterion/criterion.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/random_source.hpp>

using namespace hyssoprock;

// Guards against a table row out of order, which would report a kind with another kind's text.
Test(errorKind, tableHasTheOrderOfTheEnumeration)
{
    std::set<std::string_view> names;
    for (int value = 0; value <= static_cast<int>(ErrorKind::InvalidSettings); ++value) {
        const auto &description = describe(static_cast<ErrorKind>(value));
        cr_assert_eq(static_cast<int>(description.kind), value);
        cr_assert_eq(description.state.size(), 5);
        names.insert(description.name);
    }
    cr_assert_eq(names.size(), static_cast<std::size_t>(ErrorKind::InvalidSettings) + 1);
}

// Guards against reporting an uncertain outcome as "not run".
Test(errorKind, unknownOutcomeIsNotReportedAsNotRun)
{
    cr_assert_not(describe(ErrorKind::OutcomeUnknown).notRun);
    cr_assert_not(describe(ErrorKind::StorageFailure).notRun);
    cr_assert(describe(ErrorKind::QueueFull).notRun);
}

// Guards against comparing indexes of different terms: a divergent tail may have a higher index.
Test(logPosition, comparesTermBeforeIndex)
{
    const LogPosition newerTerm{2, 5};
    const LogPosition olderTerm{1, 9};
    const LogPosition next{2, 6};
    cr_assert(newerTerm > olderTerm);
    cr_assert(newerTerm < next);
}

// Guards against a generator that depends on anything but its seed.
Test(randomSource, sameSeedGivesTheSameSequence)
{
    RandomSource first{7};
    RandomSource second{7};
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(first.next(), second.next());
    }
}
