#include <set>
#include <string_view>

#include <criterion/criterion.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/random_source.hpp>

using namespace hyssoprock;

// Guards against a row that is out of order: a kind would be answered with another kind's text.
Test(errorKind, tableIsInOrderOfTheList)
{
    std::set<std::string_view> names;
    for (int value = 0; value <= static_cast<int>(ErrorKind::InvalidSettings); ++value) {
        const auto &answer = describe(static_cast<ErrorKind>(value));
        cr_assert_eq(static_cast<int>(answer.kind), value);
        cr_assert_eq(answer.state.size(), 5);
        names.insert(answer.name);
    }
    cr_assert_eq(names.size(), static_cast<std::size_t>(ErrorKind::InvalidSettings) + 1);
}

// Guards against calling an uncertain outcome "not run".
Test(errorKind, unknownOutcomeIsNotCalledNotRun)
{
    cr_assert_not(describe(ErrorKind::OutcomeUnknown).notRun);
    cr_assert_not(describe(ErrorKind::StorageFailure).notRun);
    cr_assert(describe(ErrorKind::QueueFull).notRun);
}

// Guards against comparing indexes of different terms: a divergent tail may have a higher index.
Test(logPosition, termGoesBeforeIndex)
{
    const LogPosition newerTerm{2, 5};
    const LogPosition olderTerm{1, 9};
    const LogPosition next{2, 6};
    cr_assert(newerTerm > olderTerm);
    cr_assert(newerTerm < next);
}

// Guards against a generator that depends on anything but its seed.
Test(randomSource, sameSeedSameSequence)
{
    RandomSource first{7};
    RandomSource second{7};
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(first.next(), second.next());
    }
}
