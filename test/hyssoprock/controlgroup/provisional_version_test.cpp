#include <criterion/criterion.h>

#include <hyssoprock/controlgroup/provisional_version.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

} // namespace

// Guards against sending an entry host an outdated version after a power loss, because the control
// host that it uses had been disconnected before (isvarn-prod-grown trouble-2: version 24 instead
// of 80).
Test(provisionalVersion, anOutdatedHostDoesNotAnnounceItsVersion)
{
    ProvisionalVersion provisional{start};
    provisional.recordVersion("c2", 80);
    provisional.recordVersion("c3", 80);
    cr_assert(!provisional.mayAnnounce(24, 3, start + 10ms));
    cr_assert(!provisional.mayAnnounce(24, 3, start + 5s));
    cr_assert(provisional.mayAnnounce(80, 3, start + 10ms), "it has caught up");
}

// Guards against announcing a version before it is known to be the newest one, and against entry
// hosts that wait although a majority agrees.
Test(provisionalVersion, waitsForAMajority)
{
    ProvisionalVersion provisional{start};
    cr_assert(!provisional.mayAnnounce(80, 5, start + 10ms));
    provisional.recordVersion("c2", 80);
    cr_assert(!provisional.mayAnnounce(80, 5, start + 10ms));
    provisional.recordVersion("c3", 76);
    cr_assert(provisional.mayAnnounce(80, 5, start + 10ms));
}

// Guards against counting hosts without data towards the majority.
Test(provisionalVersion, hostsWithoutDataDoNotCount)
{
    ProvisionalVersion provisional{start};
    provisional.recordVersion("c2", 0);
    provisional.recordVersion("c3", 0);
    cr_assert(!provisional.mayAnnounce(24, 3, start + 10ms));
}

// Guards against entry hosts that stay without a document as long as most control hosts are down.
Test(provisionalVersion, announcesWithoutAMajorityAfterTheTimeout)
{
    const ProvisionalVersion provisional{start};
    cr_assert(!provisional.mayAnnounce(24, 5, start + 499ms));
    cr_assert(provisional.mayAnnounce(24, 5, start + 500ms));
    cr_assert(!provisional.mayAnnounce(0, 5, start + 1s));
}
