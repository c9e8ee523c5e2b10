#include <criterion/criterion.h>

#include <hyssoprock/controlgroup/provisional_version.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

} // namespace

// Guards against an entry host that is given an outdated version after a power loss, because the
// control host that it asks was cut off before (isvarn-prod-grown trouble-2: version 24 instead of
// 80).
Test(provisionalVersion, aHostThatIsBehindHandsNothingOut)
{
    ProvisionalVersion versions{start};
    versions.recordVersion("c2", 80);
    versions.recordVersion("c3", 80);
    cr_assert(!versions.mayAnnounce(24, 3, start + 10ms));
    cr_assert(!versions.mayAnnounce(24, 3, start + 5s));
    cr_assert(versions.mayAnnounce(80, 3, start + 10ms), "it has caught up");
}

// Guards against a host that hands its version out before it can know that it is the newest, and
// against entry hosts that wait although a majority agrees.
Test(provisionalVersion, aMajorityIsHeardFirst)
{
    ProvisionalVersion versions{start};
    cr_assert(!versions.mayAnnounce(80, 5, start + 10ms));
    versions.recordVersion("c2", 80);
    cr_assert(!versions.mayAnnounce(80, 5, start + 10ms));
    versions.recordVersion("c3", 76);
    cr_assert(versions.mayAnnounce(80, 5, start + 10ms));
}

// Guards against hosts without data that are counted towards the majority.
Test(provisionalVersion, aHostThatLostItsDiskTellsNothing)
{
    ProvisionalVersion versions{start};
    versions.recordVersion("c2", 0);
    versions.recordVersion("c3", 0);
    cr_assert(!versions.mayAnnounce(24, 3, start + 10ms));
}

// Guards against entry hosts without a document for as long as most control hosts are lost.
Test(provisionalVersion, withoutAMajorityTheVersionIsHandedOutAfterAWhile)
{
    const ProvisionalVersion versions{start};
    cr_assert(!versions.mayAnnounce(24, 5, start + 499ms));
    cr_assert(versions.mayAnnounce(24, 5, start + 500ms));
    cr_assert(!versions.mayAnnounce(0, 5, start + 1s));
}
