#include <criterion/criterion.h>

#include <hyssoprock/leasing/host_lease_grantor.hpp>
#include <hyssoprock/leasing/host_lease_holder.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseDuration = 4s;
constexpr std::uint64_t withdrawalEpoch = 3;

HostLeaseRequest makeRequest(std::uint64_t incarnation, std::uint64_t sequence,
                             std::vector<PrimaryRelease> released = {})
{
    HostLeaseRequest request;
    request.incarnation = incarnation;
    request.sequence = sequence;
    request.released = std::move(released);
    return request;
}

HostLeaseGrant makeGrant(std::uint64_t sequence)
{
    return {7, sequence, Duration{leaseDuration}.count()};
}

/// Grantor whose former leases have ended.
struct GrantorWorld
{
    GrantorWorld()
    {
        grantor.beginLeadership(now);
        now += grantor.reservationDuration();
    }

    [[nodiscard]] bool isUsable() const
    {
        return grantor.usableUntil("s", withdrawalEpoch, now).has_value();
    }

    HostLeaseGrantor grantor{leaseDuration};
    Instant now{1h};
};

} // namespace

// Guards against a holder that uses a primary after the grantor has given it to another: a delayed
// grant must not lengthen the lease.
Test(hostLease, isMeasuredFromTheSendingOfItsRequest)
{
    HostLeaseHolder holder{7, leaseDuration};
    const Instant sent{1h};
    cr_assert(holder.nextRequest(sent).has_value());
    const auto until = holder.handleGrant("c1", makeGrant(1), sent + 3s);
    cr_assert(until && *until <= sent + leaseDuration);

    GrantorWorld world;
    cr_assert(world.grantor.renew("e1", makeRequest(7, 1), world.now));
    world.now += leaseDuration;
    cr_assert(world.isUsable(), "the grantor's record lasts longer than the lease");
    world.now = *world.grantor.usableUntil("s", withdrawalEpoch, world.now);
    cr_assert_not(world.isUsable());
}

// Guards against a lost lease when the control leader changes: the former grantor does not answer.
Test(hostLease, isRequestedFromAllHostsIfTheGrantorIsSilent)
{
    HostLeaseHolder holder{7, leaseDuration};
    Instant now{1h};
    cr_assert_eq(holder.nextRequest(now)->controlHost, "");
    (void)holder.handleGrant("c1", makeGrant(1), now);
    cr_assert_not(holder.nextRequest(now + 100ms).has_value());
    now += leaseDuration / 8;
    cr_assert_eq(holder.nextRequest(now)->controlHost, "c1");
    now += 300ms;
    cr_assert_eq(holder.nextRequest(now)->controlHost, "");
    (void)holder.handleGrant("c2", makeGrant(3), now);
    now += leaseDuration / 8;
    cr_assert_eq(holder.nextRequest(now)->controlHost, "c2");
}

// Guards against a promotion that waits for a lease although its holder has released the primary.
Test(hostLease, releaseIsReportedAtOnceAndUntilTheNextAnnouncement)
{
    HostLeaseHolder holder{7, leaseDuration};
    const Instant now{1h};
    (void)holder.nextRequest(now);
    (void)holder.handleGrant("c1", makeGrant(1), now);
    holder.release({"s", 3});
    const auto urgent = holder.nextRequest(now);
    cr_assert(urgent && urgent->controlHost == "c1");
    cr_assert(urgent->request.released == (std::vector<PrimaryRelease>{{"s", 3}}));
    cr_assert_not(holder.nextRequest(now).has_value());
    cr_assert_eq(holder.nextRequest(now + 1s)->request.released.size(), 1U);
    holder.endRelease("s");
    cr_assert(holder.nextRequest(now + 2s)->request.released.empty());
}

// Guards against counting an answer to another process, or one that arrives twice.
Test(hostLease, ignoresForeignAndRepeatedGrants)
{
    HostLeaseHolder holder{7, leaseDuration};
    const Instant now{1h};
    (void)holder.nextRequest(now);
    auto foreign = makeGrant(1);
    foreign.incarnation = 8;
    cr_assert_not(holder.handleGrant("c1", foreign, now).has_value());
    cr_assert_not(holder.handleGrant("c1", makeGrant(2), now).has_value());
    cr_assert(holder.handleGrant("c1", makeGrant(1), now).has_value());
    cr_assert_not(holder.handleGrant("c1", makeGrant(1), now).has_value());
}

// Guards against a renewal that crosses the end of the lease during a planned stop.
Test(hostLease, isNotRenewedAfterLeaving)
{
    HostLeaseHolder holder{7, leaseDuration};
    const Instant now{1h};
    (void)holder.nextRequest(now);
    holder.leave();
    cr_assert_not(holder.handleGrant("c1", makeGrant(1), now).has_value());
    const auto last = holder.nextRequest(now);
    cr_assert(last && last->request.leaving && last->controlHost.empty());
    cr_assert_not(holder.nextRequest(now + 10s).has_value());
}

// Guards against two primaries after a change of the control leader: the new leader does not know
// the leases of the former one.
Test(hostLease, leasesOfFormerLeadersAreWaitedFor)
{
    HostLeaseGrantor grantor{leaseDuration};
    const Instant now{1h};
    grantor.beginLeadership(now);
    cr_assert(grantor.usableUntil("s", withdrawalEpoch, now).has_value());
    cr_assert(grantor.usableUntil("s", withdrawalEpoch, now + leaseDuration).has_value());
    cr_assert_not(
        grantor.usableUntil("s", withdrawalEpoch, now + grantor.reservationDuration()).has_value());
    cr_assert(*grantor.usableUntil("s", withdrawalEpoch, now, now + 1s) == now + 1s);
}

// Guards against counting a release of an earlier withdrawal or of another service.
Test(hostLease, onlyAReleaseOfTheWithdrawalCounts)
{
    GrantorWorld world;
    auto report = [&, sequence = std::uint64_t{0}](PrimaryRelease release) mutable {
        cr_assert(
            world.grantor.renew("e1", makeRequest(7, ++sequence, {std::move(release)}), world.now));
    };
    report({"t", withdrawalEpoch});
    cr_assert(world.isUsable());
    report({"s", withdrawalEpoch - 1});
    cr_assert(world.isUsable());
    cr_assert_eq(world.grantor.holderCount("s", withdrawalEpoch, world.now), 1U);
    report({"s", withdrawalEpoch});
    cr_assert_not(world.isUsable());
    cr_assert_eq(world.grantor.holderCount("s", withdrawalEpoch, world.now), 0U);
}

// Guards against a delayed request that revokes a later release, and against one that a frozen
// host sent before it was silent.
Test(hostLease, anOlderRequestChangesNothing)
{
    GrantorWorld world;
    cr_assert(world.grantor.renew("e1", makeRequest(7, 2, {{"s", withdrawalEpoch}}), world.now));
    cr_assert_not(world.grantor.renew("e1", makeRequest(7, 1), world.now));
    cr_assert_not(world.isUsable());
}

// Guards against waiting for the lease of a process that has been restarted, and against a delayed
// request of the ended process that replaces the lease of the running one.
Test(hostLease, aNewIncarnationEndsTheFormerLease)
{
    GrantorWorld world;
    cr_assert(world.grantor.renew("e1", makeRequest(7, 5), world.now));
    cr_assert(world.grantor.renew("e1", makeRequest(4, 1, {{"s", withdrawalEpoch}}), world.now));
    cr_assert_not(world.isUsable());
    cr_assert_not(world.grantor.renew("e1", makeRequest(7, 6), world.now));
    cr_assert_not(world.isUsable());
}

// Guards against waiting for a host that was stopped as planned.
Test(hostLease, aLeavingHostHoldsNoLease)
{
    GrantorWorld world;
    cr_assert(world.grantor.renew("e1", makeRequest(7, 1), world.now));
    auto leaving = makeRequest(7, 2);
    leaving.leaving = true;
    cr_assert_not(world.grantor.renew("e1", leaving, world.now));
    cr_assert_not(world.isUsable());
}
