#include <criterion/criterion.h>

#include <hyssoprock/pooler/process_limits.hpp>

using namespace hyssoprock;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

} // namespace

// Guards against limits that callers within the limits of the platform reach: 600 sessions of an
// entry host of 160 MB and 4,300 descriptors, and one message of 1 MiB with its answer.
Test(processLimits, defaultsAdmitWhatThePlatformAllows)
{
    const auto limits = deriveLimits({}, 4300);
    cr_assert_geq(limits.callersMax, 4000);
    cr_assert_geq(limits.memory.process, 600 * MemoryBudget::ordinaryBytes);
    cr_assert_leq(limits.memory.process, 80 * mebibyte);
    cr_assert_geq(limits.memory.connection, 40 * mebibyte);
    cr_assert_geq(limits.requestBytes, 8 * mebibyte);
    cr_assert_geq(limits.session.valueBytes, mebibyte);
}

// Guards against a process that serves callers with the last descriptor.
Test(processLimits, reservesDescriptors)
{
    CallerLimitSettings settings;
    settings.maxFds = 160;
    cr_assert_eq(deriveLimits(settings, 4300).callersMax, 120);
    cr_assert_eq(deriveLimits(settings, 100).callersMax, 75);
    cr_assert_eq(deriveLimits(settings, 4300).internalConnectionsMax, 60);
}
