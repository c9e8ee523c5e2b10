#include <criterion/criterion.h>

#include <hyssoprock/core/earlier.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

// Guards against missing a deadline because the other one is absent or later.
Test(earlier, returnsTheEarlierPresentDeadline)
{
    const std::optional<Instant> none;
    const std::optional<Instant> first{Instant{1s}};
    const std::optional<Instant> second{Instant{2s}};
    cr_assert(earlier(first, second) == first);
    cr_assert(earlier(second, first) == first);
    cr_assert(earlier(none, second) == second);
    cr_assert(earlier(second, none) == second);
    cr_assert_not(earlier(none, none).has_value());
}
