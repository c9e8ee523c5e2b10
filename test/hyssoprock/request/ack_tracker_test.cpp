#include <criterion/criterion.h>

#include <hyssoprock/request/ack_tracker.hpp>
#include <hyssoprock/request/host_tables.hpp>

#include "session_fixture.hpp"

using namespace hyssoprock;
using namespace hyssoprock::test;

namespace {

PendingAck write(std::uint64_t index, int since)
{
    return {1, index, "orders", "ep-1", {1, index}, true, at(since), at(since + 100)};
}

} // namespace

// Guards against an acknowledgement that is based only on the answer of the primary.
Test(ack_tracker, aWriteNeedsAMajorityALeaseAndTheTerm)
{
    SessionFixture f;
    auto &acks = f.host.acks;
    acks.add(write(10, 10));
    acks.recordMajorityIndex("orders", 1, 9);
    acks.recordMajorityIndex("orders", 2, 50);
    cr_assert(acks.takeResolved(f.host.views, at(20)).empty());
    acks.recordMajorityIndex("orders", 1, 10);
    cr_assert(acks.takeResolved(f.host.views, at(995)).size() == 1, "lease over: timed out");

    acks.add(write(10, 20));
    const auto held = acks.takeResolved(f.host.views, at(30));
    cr_assert(held.size() == 1 && held[0].outcome == AckOutcome::Held);
    f.changeView(2, GroupState::Electing, "", 40);
    acks.add(write(10, 40));
    const auto over = acks.takeResolved(f.host.views, at(50));
    cr_assert(over.size() == 1 && over[0].outcome == AckOutcome::TermSuperseded);
    cr_assert_eq(acks.size(), 0U);
}

// Guards against waits that are never polled in an idle group, and against one poll per wait.
Test(ack_tracker, pollsAreSharedAndLimited)
{
    SessionFixture f;
    auto &acks = f.host.acks;
    acks.add(write(10, 10));
    acks.add(write(11, 11));
    cr_assert(acks.takePolls(at(14)).empty(), "other answers may report the index");
    cr_assert_eq(acks.takePolls(at(15)).size(), 1U);
    cr_assert(acks.takePolls(at(16)).empty());
    acks.remove(1, 10);
    acks.remove(1, 11);
    cr_assert(acks.takePolls(at(60)).empty());
    cr_assert_not(acks.nextDeadline().has_value());
}

// Guards against majority indexes from a log tail that was replaced in a later term.
Test(ack_tracker, reportsOfAnOlderTermTeachNothing)
{
    SessionFixture f;
    f.changeView(2, GroupState::Active, "ep-2", 10);
    f.host.recordReport("orders", "ep-1", {{1, 60}, 60, EndpointRole::Replica}, at(11), true,
                        at(12));
    cr_assert_not(f.host.acks.isHeldByMajority("orders", {1, 60}));
    // The majority index reported by a replica is limited to the end of its own log.
    f.host.recordReport("orders", "ep-3", {{2, 20}, 30, EndpointRole::Replica}, at(11), true,
                        at(12));
    cr_assert(f.host.acks.isHeldByMajority("orders", {2, 20}));
    cr_assert_not(f.host.acks.isHeldByMajority("orders", {2, 21}));
}

// Guards against a handover that interrupts writes that wait for a majority.
Test(ack_tracker, aGroupIsQuiescedWhenNothingWaits)
{
    SessionFixture f;
    f.host.acks.add(write(10, 10));
    f.changeView(1, GroupState::Handover, "ep-1", 20);
    cr_assert_not(f.host.isQuiesced("orders"));
    f.host.acks.remove(1, 10);
    f.host.endpoints.recordAcquired("ep-1");
    cr_assert_not(f.host.isQuiesced("orders"));
    f.host.endpoints.recordReleased("ep-1");
    cr_assert(f.host.isQuiesced("orders"));
}
